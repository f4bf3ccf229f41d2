"""Closes a replica of one model in favour of a replica of another."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.replicas import builder as builders
from citronvalve.replicas import membership
from citronvalve.replicas import phase
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import runner as runners
from citronvalve.routes import enginespec

#: Time between two closures.  The effects of one, its draining (up to 4 s),
#: a join (2 s) and moved requests, must first show in the loads.
_MIN_INTERVAL: clock.Ms = 6_000


class Rebalancer:
    """Chooses healthy replicas to close for a model in higher demand.

    Losses hit the model of large replicas more often: a domain one runner
    short of a large replica can still form a small one.  Over time the small
    model becomes oversupplied while callers of the large one are refused.  A
    replica is closed only while the other model has at least twice the
    demand for each replica, also after the change.

    :param spec: engine settings of the service.
    :param builder: knows the demand.
    :ivar to_close: replicas that are to be closed.
    """

    def __init__(
        self, spec: enginespec.EngineSpec, builder: builders.ReplicaBuilder
    ) -> None:
        self._spec = spec
        self._builder = builder
        self._chosen_at: clock.Ms | None = None
        self.to_close: set[membership.GroupKey] = set()

    def step(
        self,
        replica_by_key: Mapping[membership.GroupKey, replicas.Replica],
        free_by_domain: Mapping[str, list[runners.Runner]],
        count_by_model: Mapping[str, int],
        now: clock.Ms,
    ) -> None:
        """Choose a replica to close, if the demand calls for it.

        :param replica_by_key: all replicas.
        :param free_by_domain: free runners.
        :param count_by_model: replicas that exist or are being formed.
        :param now: monotonic ms.
        """
        self.to_close &= replica_by_key.keys()
        if self.to_close or (
            self._chosen_at is not None
            and now - self._chosen_at < _MIN_INTERVAL
        ):
            return
        models = self._spec.model_by_name
        most_demanded = self._builder.most_demanded(count_by_model)
        if most_demanded is None:
            return
        free_count_by_domain = {
            domain: len(there) for domain, there in free_by_domain.items()
        }
        if max(free_count_by_domain.values(), default=0) >= most_demanded.size:
            # It is about to be formed or is waiting for its weights.
            return
        oversupplied = self._builder.demand.oversupplied(
            most_demanded, models, count_by_model, 1
        )
        candidates = [
            (free_count_by_domain.get(replica.head.domain, 0), key)
            for key, replica in replica_by_key.items()
            if key.model in oversupplied
            and replica.phase is phase.Phase.OPEN
            and replica.is_complete()
            and free_count_by_domain.get(replica.head.domain, 0) + replica.size
            >= most_demanded.size
        ]
        if candidates:
            self.to_close.add(max(candidates)[1])
            self._chosen_at = now
