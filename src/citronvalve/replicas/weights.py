"""Which models' weights are staged where, and which to stage next."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.policy import slidingcount
from citronvalve.replicas import liveness as liveness_
from citronvalve.replicas import order as orders
from citronvalve.replicas import outbox as outboxes
from citronvalve.replicas import phase
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import runner as runners
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Duration of a join if the runner's last group had the same model.
_RESIDENT_JOIN_TIME: clock.Ms = 200

#: Used part of the weight store's rate.  A new leader does not know which
#: loads its predecessor has started within the last second.
_LOAD_RATE_SHARE = 0.5

#: Starts remembered for each living runner before earlier ones are dropped.
_MAX_REMEMBERED_STARTS = 2


class Weights:
    """Estimates how long joins take, and stages weights in advance.

    :param spec: engine settings of the service.
    :param liveness: which runners are alive.
    :param outbox: takes the orders.
    :ivar before_traffic: whether no request has come yet; until then loads
        are fast and not rate-limited.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        liveness: liveness_.Liveness,
        outbox: outboxes.Outbox,
    ) -> None:
        self._spec = spec
        self._liveness = liveness
        self._outbox = outbox
        self._last_model_by_start: dict[tuple[str, int], str] = {}
        self._staging_by_id: dict[str, tuple[str, clock.Ms]] = {}
        self._recent_loads = slidingcount.SlidingCount(clock.SECOND)
        self.before_traffic = False

    def update(self, alive: list[runners.Runner]) -> None:
        """Update the last model of each runner.

        :param alive: all runners that are not lost, as they report themselves.
        """
        if len(self._last_model_by_start) > _MAX_REMEMBERED_STARTS * len(
            alive
        ):
            starts = {(runner.id, runner.start_id) for runner in alive}
            self._last_model_by_start = {
                start: model
                for start, model in self._last_model_by_start.items()
                if start in starts
            }
        for runner in alive:
            if runner.membership is not None:
                start = runner.id, runner.start_id
                self._last_model_by_start[start] = runner.membership.key.model

    def join_time(
        self, runner: runners.Runner, model: modelspec.ModelSpec
    ) -> clock.Ms:
        """Return the expected ms of a join.

        :param runner: the runner that joins.
        :param model: the group's model.
        """
        if (
            self._last_model_by_start.get((runner.id, runner.start_id))
            == model.name
        ):
            return _RESIDENT_JOIN_TIME
        if model.name in runner.staged:
            return model.staged_load_time
        return model.load_time

    def ensure_staged(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> bool:
        """Stage missing weights; return whether none are missing.

        :param members: runners that are to form a group.
        :param model: the group's model.
        :param now: monotonic ms.
        """
        if self.before_traffic:
            return True
        unstaged = [
            r for r in members if self.join_time(r, model) == model.load_time
        ]
        for runner in unstaged:
            self._stage(runner, model, now)
        return not unstaged

    def stage_spares(
        self,
        spare_lists: Iterable[list[runners.Runner]],
        count_by_model: collections.Counter[str],
        now: clock.Ms,
        repaired_by_domain: Mapping[str, modelspec.ModelSpec] | None = None,
    ) -> None:
        """Stage on spares without weights the model most likely to need them.

        :param spare_lists: the spares of each domain.
        :param count_by_model: replicas that exist or are being formed.
        :param now: monotonic ms.
        :param repaired_by_domain: the model that spares of a domain are kept
            for, if any.
        """
        repaired_by_domain = repaired_by_domain or {}
        for spares in spare_lists:
            staged_count = collections.Counter(
                name for runner in spares for name in runner.staged[:1]
            )
            for runner in spares:
                if not runner.staged:
                    model = repaired_by_domain.get(
                        runner.domain
                    ) or self._model_to_stage(staged_count, count_by_model)
                    staged_count[model.name] += 1
                    self._stage(runner, model, now)

    def stage_members(
        self, all_replicas: Iterable[replicas.Replica], now: clock.Ms
    ) -> None:
        """Stage another model on the hosts of members that serve.

        A member has the weights of its own model in use and can join another
        group of it at once.  With another model staged too, the remaining
        members of a replica that lost one can form a replica of either model
        within seconds, instead of after a load of 12 to 16 s.

        :param all_replicas: all replicas.
        :param now: monotonic ms.
        """
        wanted_by_model = {
            name: self._other_model(name) for name in self._spec.model_by_name
        }
        for replica in all_replicas:
            wanted = wanted_by_model[replica.key.model]
            if replica.phase is not phase.Phase.OPEN or wanted is None:
                continue
            for runner in replica.member_by_rank.values():
                if (
                    wanted.name not in runner.staged
                    and self._liveness.is_listed(runner.id)
                    and not self._liveness.is_suspected(runner.id)
                ):
                    self._stage(runner, wanted, now)

    def _other_model(self, name: str) -> modelspec.ModelSpec | None:
        others = [
            m for m in self._spec.model_by_name.values() if m.name != name
        ]
        return max(
            others, key=lambda m: m.initial_share / m.size, default=None
        )

    def _model_to_stage(
        self,
        staged_count: collections.Counter[str],
        count_by_model: collections.Counter[str],
    ) -> modelspec.ModelSpec:
        # A replica of twice the size loses a member twice as often.
        return max(
            self._spec.model_by_name.values(),
            key=lambda m: (
                m.size
                * max(1, count_by_model[m.name])
                / (1 + staged_count[m.name])
            ),
        )

    def _stage(
        self,
        runner: runners.Runner,
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        name, since = self._staging_by_id.get(runner.id, ("", 0))
        loading = self._spec.model_by_name.get(name)
        if (
            loading
            and now - since < loading.load_time + outboxes.RETRY_INTERVAL
        ):
            return
        max_loads = max(
            1, int(_LOAD_RATE_SHARE * self._spec.weight_loads_per_second)
        )
        if (
            not self.before_traffic
            and self._recent_loads.count(now) >= max_loads
        ):
            return
        self._recent_loads.add(now)
        self._staging_by_id[runner.id] = model.name, now
        self._outbox.add(
            orders.Order(
                orders.OrderKind.STAGE,
                runner.id,
                model=model.name,
                why=orders.Reason.STAGED,
            ),
            now,
        )
