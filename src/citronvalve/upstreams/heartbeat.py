"""Heartbeat of an engine that has no new text."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """A comment event of the stream."""


HEARTBEAT = Heartbeat()
