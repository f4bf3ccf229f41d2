"""The sign of an engine that is alive and has no text yet."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """A comment line of the stream."""


HEARTBEAT = Heartbeat()
