"""A replica as reported by its members."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.replicas import membership
from citronvalve.replicas import phase as phases
from citronvalve.replicas import runner as runners


class Replica(NamedTuple):
    """One formation of a group, with the members that are known."""

    key: membership.GroupKey
    size: int
    member_by_rank: dict[int, runners.Runner]

    @property
    def head(self) -> runners.Runner | None:
        """Return the member that takes the requests, None if not known."""
        return self.member_by_rank.get(0)

    @property
    def phase(self) -> phases.Phase | None:
        """Return the head's phase, None if the head is not known."""
        head = self.head
        return head.membership.phase if head is not None else None

    def is_complete(self) -> bool:
        """Return whether every member is known."""
        return len(self.member_by_rank) == self.size

    def is_ready(self) -> bool:
        """Return whether all members report that they are ready."""
        return self.is_complete() and all(
            member.membership.phase is phases.Phase.READY
            for member in self.member_by_rank.values()
        )


def collect(
    alive: Iterable[runners.Runner], size_by_model: dict[str, int]
) -> dict[membership.GroupKey, Replica]:
    """Return the replicas that runners report to be members of.

    :param alive: runners that are not lost, as they report themselves.
    :param size_by_model: members of one replica; groups of other models are
        ignored.
    """
    replica_by_key: dict[membership.GroupKey, Replica] = {}
    for runner in alive:
        held = runner.membership
        if held is None or held.key.model not in size_by_model:
            continue
        replica = replica_by_key.get(held.key)
        if replica is None:
            size = size_by_model[held.key.model]
            replica = replica_by_key[held.key] = Replica(held.key, size, {})
        replica.member_by_rank[held.rank] = runner
    return replica_by_key
