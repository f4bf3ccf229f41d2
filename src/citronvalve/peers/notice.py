"""The reply to a message from a dead incarnation."""

from typing import NamedTuple


class DeathNotice(NamedTuple):
    """Tells a daemon that its incarnation was declared dead."""

    incarnation: int
