"""Closes a replica of one model in favour of a replica of another."""

import collections
from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.replicas import builder as builders
from citronvalve.replicas import demand as demands
from citronvalve.replicas import membership
from citronvalve.replicas import phase
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import runner as runners
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Time between two closures.  The effects of one, its draining (up to 4 s),
#: a join (2 s) and moved requests, must first show in the loads.
_MIN_INTERVAL: clock.Ms = 6_000

#: At most one replica of so many is closed at once; in a small fleet one
#: exchange may take more.
_MAX_CLOSED_PART = 10
_MAX_FIRST_PART = 4


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
        most_demanded = self._builder.most_demanded(count_by_model)
        if most_demanded is None:
            return
        free_count_by_domain = {
            domain: len(there) for domain, there in free_by_domain.items()
        }
        if max(free_count_by_domain.values(), default=0) >= most_demanded.size:
            # It is about to be formed or is waiting for its weights.
            return
        counts = collections.Counter(count_by_model)
        for option in self._options(
            most_demanded, replica_by_key, free_count_by_domain
        ):
            part = _MAX_CLOSED_PART if self.to_close else _MAX_FIRST_PART
            closing = len(self.to_close) + len(option)
            if closing > max(1, sum(counts.values()) // part):
                continue
            if self._is_worth_it(option, most_demanded, counts):
                self.to_close.update(option)
                self._chosen_at = now
                counts[most_demanded.name] += 1
                counts.subtract(key.model for key in option)

    def _options(
        self,
        wanted: modelspec.ModelSpec,
        replica_by_key: Mapping[membership.GroupKey, replicas.Replica],
        free_count_by_domain: Mapping[str, int],
    ) -> list[list[membership.GroupKey]]:
        """Return sets of replicas to close for one of a model, least first.

        :param wanted: the model.
        :param replica_by_key: all replicas.
        :param free_count_by_domain: number of free runners.
        """
        closable_by_domain: dict[str, list[replicas.Replica]] = {}
        for replica in replica_by_key.values():
            if replica.phase is phase.Phase.OPEN and replica.is_complete():
                closable = closable_by_domain.setdefault(
                    replica.head.domain, []
                )
                closable.append(replica)
        options = []
        for domain, closable in closable_by_domain.items():
            missing = wanted.size - free_count_by_domain.get(domain, 0)
            chosen = []
            for replica in sorted(
                closable, key=lambda r: (r.size, r.key), reverse=True
            ):
                if missing > 0 and replica.size < wanted.size:
                    chosen.append(replica.key)
                    missing -= replica.size
            if chosen and missing <= 0:
                options.append(chosen)
        return sorted(options, key=lambda keys: (len(keys), keys))

    def _is_worth_it(
        self,
        option: list[membership.GroupKey],
        wanted: modelspec.ModelSpec,
        counts: Mapping[str, int],
    ) -> bool:
        """Return whether closing replicas serves more callers.

        The replica that is gained must have more requests than those that
        are given up together, and at least twice as many as each.
        """
        closed = collections.Counter(key.model for key in option)
        demand = self._builder.demand
        models = self._spec.model_by_name
        gained = demand.each(models, counts, {wanted.name: 1})[wanted.name]
        left = demand.each(
            models, counts, {name: 1 - n for name, n in closed.items()}
        )
        given_up = sum(left[name] * n for name, n in closed.items())
        least = max(left[name] for name in closed) / demands.OVERSUPPLY_RATIO
        return gained > max(given_up, least)
