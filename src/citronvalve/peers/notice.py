"""The answer to a message from a life that is over."""

from typing import NamedTuple


class DeathNotice(NamedTuple):
    """Tells a daemon that its life was declared dead."""

    incarnation: int
