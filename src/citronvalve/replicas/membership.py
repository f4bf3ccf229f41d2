"""A runner's place in a group."""

from typing import NamedTuple

from citronvalve.replicas import phase as phases


class GroupKey(NamedTuple):
    """One formation of a group: its name and its epoch, never used again."""

    name: str
    epoch: int

    @property
    def model(self) -> str:
        """Return the model, which stands in the group's name.

        A daemon that takes the lead then needs nothing but the runners'
        own word to know what each group serves.
        """
        return self.name.partition("~")[0]


class Membership(NamedTuple):
    """A group and what a runner is in it; the head has rank 0."""

    key: GroupKey
    rank: int
    phase: phases.Phase
