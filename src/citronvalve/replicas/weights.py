"""Which weights lie where, and which are to be brought there."""

import collections
from collections.abc import Iterable

from citronvalve.model import clock
from citronvalve.policy import slidingcount
from citronvalve.replicas import lives as lives_
from citronvalve.replicas import order as orders
from citronvalve.replicas import orderbook
from citronvalve.replicas import phase
from citronvalve.replicas import runner as runners
from citronvalve.replicas import standing as standings
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Ms of a join by a runner whose last group had the same model.
_AT_HAND: clock.Ms = 200

#: Part of the weight store's rate that is used.  A leader that took over
#: does not know what its predecessor has started within the last second.
_LOAD_SHARE = 0.5


class Weights:
    """Knows what a join costs, and has weights staged ahead of need.

    :param spec: the service's engines.
    :param lives: who is there.
    :param book: takes orders.
    :ivar early: before any request; loads are quick then and not bounded.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        lives: lives_.Lives,
        book: orderbook.OrderBook,
    ) -> None:
        self._spec = spec
        self._lives = lives
        self._book = book
        self._last_model: dict[tuple[str, int], str] = {}
        self._staging: dict[str, tuple[str, clock.Ms]] = {}
        self._loads = slidingcount.SlidingCount(clock.SECOND)
        self.early = False

    def remember(self, known: list[runners.Runner]) -> None:
        """Take in which model each runner's group has or had.

        :param known: all runners with their own word.
        """
        here = {(runner.id, runner.born) for runner in known}
        self._last_model = {
            k: model for k, model in self._last_model.items() if k in here
        }
        for runner in known:
            if runner.membership is not None:
                place = runner.id, runner.born
                self._last_model[place] = runner.membership.key.model

    def price(
        self, runner: runners.Runner, model: modelspec.ModelSpec
    ) -> clock.Ms:
        """Return roughly how long a join takes.

        :param runner: who joins.
        :param model: of the group.
        """
        if self._last_model.get((runner.id, runner.born)) == model.name:
            return _AT_HAND
        if model.name in runner.staged:
            return model.staged_load_time
        return model.load_time

    def bring(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> bool:
        """Stage what is missing; tell whether nothing is.

        :param members: of a group to be.
        :param model: its model.
        :param now: monotonic ms.
        """
        if self.early:
            return True
        lacking = [
            r for r in members if self.price(r, model) == model.load_time
        ]
        for runner in lacking:
            self._stage(runner, model, now)
        return not lacking

    def stage_spares(
        self,
        spares: Iterable[list[runners.Runner]],
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> None:
        """Stage, on spares without weights, what their domain loses most.

        :param spares: those of each domain.
        :param count_by_model: replicas that stand or are being formed.
        :param now: monotonic ms.
        """
        for there in spares:
            held = collections.Counter(
                name for runner in there for name in runner.staged[:1]
            )
            for runner in there:
                if not runner.staged:
                    model = self._most_lost(held, count_by_model)
                    held[model.name] += 1
                    self._stage(runner, model, now)

    def stage_members(
        self, standing: Iterable[standings.Standing], now: clock.Ms
    ) -> None:
        """Stage another model on the hosts of members that serve.

        A member keeps its own model's weights while it is in the group and
        can join another of that model at once.  So with the other model
        staged, whatever is left of a replica that lost a member can form
        either within seconds, and need not wait 12 to 16 s for a load.

        :param standing: all replicas.
        :param now: monotonic ms.
        """
        for replica in standing:
            if replica.phase is not phase.Phase.OPEN:
                continue
            others = [
                m
                for m in self._spec.model_by_name.values()
                if m.name != replica.key.model
            ]
            if not others:
                return
            wanted = max(others, key=lambda m: m.initial_share / m.size)
            for runner in replica.member_by_rank.values():
                sound = self._lives.is_listed(runner.id)
                sound = sound and not self._lives.is_doubted(runner.id)
                if sound and wanted.name not in runner.staged:
                    self._stage(runner, wanted, now)

    def _most_lost(
        self,
        held: collections.Counter[str],
        count_by_model: collections.Counter[str],
    ) -> modelspec.ModelSpec:
        # A replica of twice the size loses members twice as often.
        return max(
            self._spec.model_by_name.values(),
            key=lambda m: (
                m.size * max(1, count_by_model[m.name]) / (1 + held[m.name])
            ),
        )

    def _stage(
        self,
        runner: runners.Runner,
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        name, since = self._staging.get(runner.id, ("", 0))
        busy = self._spec.model_by_name.get(name)
        if busy and now - since < busy.load_time + orderbook.AGAIN:
            return
        most = max(1, int(_LOAD_SHARE * self._spec.weight_loads_per_second))
        if not self.early and self._loads.count(now) >= most:
            return
        self._loads.add(now)
        self._staging[runner.id] = model.name, now
        self._book.give(
            orders.Order(orders.OrderKind.STAGE, runner.id, model=model.name),
            now,
        )
