"""A runner's place in a group."""

from typing import NamedTuple

from citronvalve.replicas import phase as phases


class GroupKey(NamedTuple):
    """One formation of a group: its name and epoch, which is never reused."""

    name: str
    epoch: int

    @property
    def model(self) -> str:
        """Return the model, which is part of the group's name.

        So a new leader learns from the runners' reports alone what each
        group serves.
        """
        return self.name.partition("~")[0]


class Membership(NamedTuple):
    """A runner's group, rank and phase in it; the head has rank 0."""

    key: GroupKey
    rank: int
    phase: phases.Phase
