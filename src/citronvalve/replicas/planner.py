"""Decides which replicas to form, open, close and give up."""

import collections
from collections.abc import Iterator

from citronvalve.model import clock
from citronvalve.replicas import forming
from citronvalve.replicas import heads
from citronvalve.replicas import lives as lives_
from citronvalve.replicas import membership
from citronvalve.replicas import need
from citronvalve.replicas import order as orders
from citronvalve.replicas import orderbook
from citronvalve.replicas import phase as phases
from citronvalve.replicas import reshaping
from citronvalve.replicas import runner as runners
from citronvalve.replicas import standing as standings
from citronvalve.replicas import weights
from citronvalve.routes import enginespec

#: What runs in a whole replica that is closed may finish for so long; a
#: usual answer takes one to two seconds.
_FINISH: clock.Ms = 4_000

#: At the first start, the list is taken to be still growing for so long
#: after a runner came; they come some tens of ms apart.
_FILLING: clock.Ms = 500

_Kind = orders.OrderKind
_Phase = phases.Phase
_Found = dict[membership.GroupKey, standings.Standing]


class Planner:
    """Plans for one service; pure but for what it remembers.

    A replica that lost a member is closed, and what is missing is formed
    anew from free runners; so there is one way to form a replica, at the
    start as in a repair.

    :param spec: the service's engines.
    :param stall: ms until a head that stands still is broken.
    :param epochs: gives each formation its own, rising.
    :ivar lives: who is there.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        stall: clock.Ms,
        epochs: Iterator[int],
    ) -> None:
        self.spec = spec
        self.lives = lives_.Lives()
        self._book = orderbook.OrderBook()
        self._heads = heads.Heads(self.lives, self._book, stall)
        self._weights = weights.Weights(spec, self.lives, self._book)
        self._forming = forming.Forming(
            spec, epochs, self.lives, self._heads, self._weights, self._book
        )
        self._dissolved: dict[membership.GroupKey, clock.Ms] = {}
        self._reshaping = reshaping.Reshaping(spec, self._forming)
        self._listed = 0
        self._grown_at: clock.Ms = 0

    @property
    def need(self) -> need.Need:
        """Return what weighs the models."""
        return self._forming.need

    @property
    def early(self) -> bool:
        """Tell whether no request has come; loads are quick until then."""
        return self._weights.early

    @early.setter
    def early(self, early: bool) -> None:
        self._weights.early = early

    def accuse(self, head: str) -> None:
        """Take in that a replica stands still: any member may be lost.

        :param head: the head's id.
        """
        held = self.lives.find(head)
        self.lives.accuse(head)
        if held is None or held.membership is None:
            return
        for runner in self.lives.known():
            other = runner.membership
            if other is not None and other.key == held.membership.key:
                self.lives.accuse(runner.id)

    def told(
        self, what: orders.Order, told: orders.Told, now: clock.Ms
    ) -> None:
        """Take in what came back of an order.

        :param what: the order.
        :param told: the runner's answer.
        :param now: monotonic ms.
        """
        self._heads.told(what, told, now)

    def step(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> list[orders.Order | orders.Look]:
        """Return what is to be done now.

        :param runner_by_id: the list's runners of this service.
        :param now: monotonic ms.
        """
        found = self._take_in(runner_by_id, now)
        count_by_model: collections.Counter[str] = collections.Counter()
        bound = self._settle_all(found, count_by_model, now)
        bound |= self._heads.bound(now)
        bound |= self._advance_all(found, count_by_model, now)
        by_domain: dict[str, list[runners.Runner]] = {}
        for runner in self._usable():
            settled = self.lives.is_settled(runner.datacentre, now)
            if settled and runner.id not in bound:
                by_domain.setdefault(runner.domain, []).append(runner)
        filling = self.early and now - self._grown_at < _FILLING
        self._forming.form(by_domain, count_by_model, filling, now)
        if not self.early:
            self._reshaping.step(found, by_domain, count_by_model, now)
        if not filling:
            spares = by_domain.values()
            self._weights.stage_spares(spares, count_by_model, now)
            self._weights.stage_members(found.values(), now)
        for runner in self.lives.due(now):
            if self.lives.find(runner) is not None:
                self._book.look(runner)
        return self._book.take(now)

    def _take_in(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> _Found:
        if len(runner_by_id) > self._listed:
            self._grown_at = now
        self._listed = len(runner_by_id)
        self.lives.listed(runner_by_id, now)
        self.lives.watch_cuts(now)
        known = self.lives.known()
        self._heads.remember(known)
        self._weights.remember(known)
        sizes = {m.name: m.size for m in self.spec.model_by_name.values()}
        found = standings.census(known, sizes)
        self._dissolved = {
            k: at for k, at in self._dissolved.items() if k in found
        }
        return found

    def _usable(self) -> list[runners.Runner]:
        return [
            runner
            for runner in self.lives.known()
            if self.lives.is_listed(runner.id)
            and not runner.leaving
            and not self.lives.is_doubted(runner.id)
        ]

    def _settle_all(
        self,
        found: _Found,
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> set[str]:
        bound: set[str] = set()
        spare = collections.Counter(
            r.domain for r in self._usable() if r.membership is None
        )
        for key, standing in found.items():
            if self._settle(standing, spare, now):
                bound.update(r.id for r in standing.member_by_rank.values())
                if key not in self._dissolved:
                    count_by_model[key.model] += 1
        return bound

    def _advance_all(
        self,
        found: _Found,
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> set[str]:
        bound: set[str] = set()
        for key, pending in list(self._forming.pending_by_key.items()):
            if self._forming.advance(pending, found.get(key), now):
                bound.update(pending.members)
                if key not in found:
                    count_by_model[key.model] += 1
            else:
                self._dissolved[key] = now
        # One that was given up this very moment binds nobody by itself.
        return bound | self._heads.bound(now)

    def _settle(
        self,
        standing: standings.Standing,
        spare: collections.Counter[str],
        now: clock.Ms,
    ) -> bool:
        """Act on one replica; tell whether its members are bound to it."""
        key = standing.key
        if key in self._forming.pending_by_key:
            return True
        head = standing.head
        datacentre = next(iter(standing.member_by_rank.values())).datacentre
        if not self.lives.is_settled(datacentre, now):
            return True
        if head is None:
            self._dissolved.setdefault(key, now)
            if self._may_finish(standing, now):
                return True
            return self._heads.await_break(standing, now)
        self._heads.seen(key)
        if standing.phase in phases.SERVING:
            if self._is_sound(standing, spare):
                self._dissolved.pop(key, None)
            else:
                self._close(standing, now)
            return True
        if standing.is_ready() and key not in self._dissolved:
            self._forming.adopt(standing, now)
            return True
        return False

    def _is_sound(
        self, standing: standings.Standing, spare: collections.Counter[str]
    ) -> bool:
        head = standing.head
        if head.leaving or not self.lives.is_listed(head.id):
            return False
        if standing.key in self._reshaping.given_up:
            return False
        if not standing.is_complete():
            return False
        if standing.phase is _Phase.CLOSING:
            return False
        # A member that leaves stays while its head has work, so nothing is
        # won by closing before there is another runner in its place.
        leaving = any(r.leaving for r in standing.member_by_rank.values())
        return not (leaving and spare[head.domain])

    def _close(self, standing: standings.Standing, now: clock.Ms) -> None:
        self._dissolved.setdefault(standing.key, now)
        finishes = self._may_finish(standing, now)
        if finishes and standing.phase is _Phase.CLOSING:
            return
        kind = _Kind.CLOSE if finishes else _Kind.CUT
        self._book.give(
            orders.Order(kind, standing.head.id, standing.key), now
        )

    def _may_finish(self, standing: standings.Standing, now: clock.Ms) -> bool:
        """Tell whether what runs in a replica that is closed may finish.

        With a member dead nothing that runs there can end.
        """
        if now - self._dissolved[standing.key] >= _FINISH:
            return False
        departed = {
            runner.membership.rank
            for runner in self.lives.departed()
            if runner.membership is not None
            and runner.membership.key == standing.key
        }
        there = standing.member_by_rank.keys() | departed
        return len(there) == standing.size
