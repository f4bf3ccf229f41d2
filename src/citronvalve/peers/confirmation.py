"""Which members have confirmed a version of the table."""

from typing import NamedTuple


class Confirmation(NamedTuple):
    """State of a version of the table across the fleet.

    ``members`` is the number of members.  ``silent`` names those that hold
    no version as new as this; members of another data centre are listed
    under its name.
    """

    version: int
    members: int
    silent: tuple[str, ...]

    @property
    def in_force(self) -> bool:
        """Return whether every member has confirmed the version."""
        return not self.silent
