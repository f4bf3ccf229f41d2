"""Gives up a replica of one model for a replica of another."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.replicas import forming as formings
from citronvalve.replicas import membership
from citronvalve.replicas import phase
from citronvalve.replicas import runner as runners
from citronvalve.replicas import standing as standings
from citronvalve.routes import enginespec

#: Between two replicas that are given up: what follows from one, its end (up
#: to 4 s), a join (2 s) and requests that move, must show in the loads first.
_APART: clock.Ms = 6_000


class Reshaping:
    """Decides when a sound replica gives its runners to another model.

    Made for losses that hit the model of large replicas more often: a domain
    that is one runner short of a large replica can still form a small one,
    so that in time the small model has replicas to spare, and callers of the
    large one are refused.  A model's replica is given up only while the
    other needs twice as much at each replica, also afterwards.

    :param spec: the service's engines.
    :param forming: knows the need.
    :ivar given_up: replicas that are to be closed.
    """

    def __init__(
        self, spec: enginespec.EngineSpec, forming: formings.Forming
    ) -> None:
        self._spec = spec
        self._forming = forming
        self._at: clock.Ms | None = None
        self.given_up: set[membership.GroupKey] = set()

    def step(
        self,
        found: Mapping[membership.GroupKey, standings.Standing],
        by_domain: Mapping[str, list[runners.Runner]],
        count_by_model: Mapping[str, int],
        now: clock.Ms,
    ) -> None:
        """Choose a replica to give up, if there is reason to.

        :param found: all replicas.
        :param by_domain: runners that are free.
        :param count_by_model: replicas that stand or are being formed.
        :param now: monotonic ms.
        """
        self.given_up &= found.keys()
        if self.given_up or (self._at is not None and now - self._at < _APART):
            return
        models = self._spec.model_by_name
        top = self._forming.top(count_by_model)
        if top is None:
            return
        free = {domain: len(there) for domain, there in by_domain.items()}
        if max(free.values(), default=0) >= top.size:
            # It is about to be formed, or waits for its weights.
            return
        spared = self._forming.need.to_spare(top, models, count_by_model, 1)
        fitting = [
            (free.get(standing.head.domain, 0), key)
            for key, standing in found.items()
            if key.model in spared
            and standing.phase is phase.Phase.OPEN
            and standing.is_complete()
            and free.get(standing.head.domain, 0) + standing.size >= top.size
        ]
        if fitting:
            self.given_up.add(max(fitting)[1])
            self._at = now
