"""What was seen of each replica since it was found."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.replicas import liveness as liveness_
from citronvalve.replicas import membership
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import runner as runners


class Sightings:
    """When each replica was found, its members seen, and whether it stalls.

    A new leader finds replicas without a member that it has never seen.  The
    member may be dead, be leaving, or its entry may have lapsed.  Only a dead
    one makes the head stall, which the daemons report.

    :param liveness: which runners are alive.
    """

    def __init__(self, liveness: liveness_.Liveness) -> None:
        self._liveness = liveness
        self._found_at_by_key: dict[membership.GroupKey, clock.Ms] = {}
        self._ranks_by_key: dict[membership.GroupKey, set[int]] = {}
        self._stalled_keys: set[membership.GroupKey] = set()

    def update(
        self,
        replica_by_key: Mapping[membership.GroupKey, replicas.Replica],
        now: clock.Ms,
    ) -> None:
        """Record the replicas that are there now, and drop all others.

        :param replica_by_key: the replicas.
        :param now: monotonic ms.
        """
        # A head that pauses stands still whatever its members do.
        paused = self._liveness.take_paused()
        self._stalled_keys = {
            key
            for key in self._stalled_keys & replica_by_key.keys()
            if (head := replica_by_key[key].head) is None
            or head.id not in paused
        }
        self._found_at_by_key = {
            key: self._found_at_by_key.get(key, now) for key in replica_by_key
        }
        self._ranks_by_key = {
            key: self._ranks_by_key.get(key, set())
            | replica.member_by_rank.keys()
            for key, replica in replica_by_key.items()
        }

    def found_at(self, key: membership.GroupKey) -> clock.Ms:
        """Return when a replica was seen first, in monotonic ms.

        :param key: of a replica of the last update.
        """
        return self._found_at_by_key[key]

    def record_stall(self, key: membership.GroupKey) -> None:
        """Record that the head of a replica sends nothing to its callers.

        :param key: of the replica.
        """
        self._stalled_keys.add(key)

    def record_activity(self, key: membership.GroupKey) -> None:
        """Record that the head of a replica that was stalled sent data.

        :param key: of the replica.
        """
        self._stalled_keys.discard(key)

    def unknown_ranks(self, replica: replicas.Replica) -> set[int]:
        """Return the ranks of members that were never seen and may live.

        :param replica: has none if it has no head, or one that answers while
            its requests stall.
        """
        head = replica.head
        if head is None or self._is_stalled(replica.key, head):
            return set()
        return set(range(replica.size)) - self._ranks_by_key[replica.key]

    def _is_stalled(
        self, key: membership.GroupKey, head: runners.Runner
    ) -> bool:
        """Return whether a replica stalls while its head answers probes."""
        is_reported = key in self._stalled_keys
        return is_reported and not self._liveness.is_suspected(head.id)
