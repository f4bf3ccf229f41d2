"""How far a version of the table has come."""

from typing import NamedTuple


class Confirmation(NamedTuple):
    """Who holds a version or a later one.

    ``silent`` names members that have not confirmed it; a data centre
    that tells no more than a number is named with it.
    """

    version: int
    members: int
    silent: tuple[str, ...]

    @property
    def in_force(self) -> bool:
        """Tell whether every member has confirmed the version."""
        return not self.silent
