"""Decides which replicas to form, open, close and give up."""

import collections
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import slidingcount
from citronvalve.replicas import lives as lives_
from citronvalve.replicas import membership
from citronvalve.replicas import need
from citronvalve.replicas import order as orders
from citronvalve.replicas import pending as pendings
from citronvalve.replicas import phase as phases
from citronvalve.replicas import runner as runners
from citronvalve.replicas import standing as standings
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: An order without visible effect is given again after this time: the list
#: shows a change some tens of ms after it, and an answer may have been lost.
_AGAIN: clock.Ms = 1_000

#: Added to the time a head that stands still takes to break.
_BREAK_MARGIN: clock.Ms = 500

#: Added to the expected time of a join before it is given up.
_JOIN_MARGIN: clock.Ms = 2_500

#: What runs in a whole replica that is closed may finish for so long; a
#: usual answer takes one to two seconds.
_FINISH: clock.Ms = 4_000

#: Entries that lapsed while the list was away are back within so long.
_BACK: clock.Ms = 2_500

#: A head that was told to open and then to close has been seen so after this
#: time: it opens within some hundred ms, and the list follows.
_SEEN: clock.Ms = 1_500

#: An order that had no answer is carried out up to so much later.
_LATEST: clock.Ms = 12_500

#: Part of the weight store's rate that is used.  A leader that took over
#: does not know what its predecessor has started within the last second.
_LOAD_SHARE = 0.5

#: Steps of an epoch within one lease; a leader forms far fewer.
_EPOCHS = 100_000

#: At the first start, the list is taken to be still growing for so long
#: after a runner came; they come some tens of ms apart.
_FILLING: clock.Ms = 500

#: Orders remembered before those that may be given again are dropped.
_MOST_GIVEN = 1_000

_Kind = orders.OrderKind
_Phase = phases.Phase


class _Headless(NamedTuple):
    """A replica whose head is lost; its members are bound until it breaks."""

    head: str
    until: clock.Ms
    members: set[str]


class _Doubtful(NamedTuple):
    """A replica that was given up after its head had been told to open."""

    members: tuple[str, ...]
    until: clock.Ms


class Planner:
    """Plans for one service; pure but for what it remembers.

    A replica that lost a member is closed, and what is missing is formed
    anew from free runners; so there is one way to form a replica, at the
    start as in a repair.  A runner is free only when the head of its last
    group can't be serving, since a head goes on accepting requests after
    a member has joined elsewhere.

    :param service: the service.
    :param spec: its engines.
    :param stall: ms until a head that stands still is broken.
    :param lease: version of the lease that this leader holds.
    :ivar lives: who is there.
    :ivar early: before any request; loads are quick then.
    :ivar need: which model needs a replica most.
    """

    def __init__(
        self,
        service: str,
        spec: enginespec.EngineSpec,
        stall: clock.Ms,
        lease: int,
    ) -> None:
        self.service = service
        self.spec = spec
        self.lives = lives_.Lives()
        self.early = False
        self.need = need.Need()
        self._stall = stall
        self._epoch = lease * _EPOCHS
        self._pending: dict[membership.GroupKey, pendings.Pending] = {}
        self._dissolved: dict[membership.GroupKey, clock.Ms] = {}
        self._doubtful: dict[membership.GroupKey, _Doubtful] = {}
        self._unknown_since: dict[membership.GroupKey, clock.Ms] = {}
        self._headless: dict[membership.GroupKey, _Headless] = {}
        self._head_by_key: dict[membership.GroupKey, str] = {}
        self._open_answered: set[membership.GroupKey] = set()
        self._given: dict[tuple, clock.Ms] = {}
        self._last_model: dict[tuple[str, int], str] = {}
        self._staging: dict[str, tuple[str, clock.Ms]] = {}
        self._listed = 0
        self._grown_at: clock.Ms = 0
        self._loads = slidingcount.SlidingCount(clock.SECOND)
        self._out: list[orders.Order | orders.Look] = []

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

    def step(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> list[orders.Order | orders.Look]:
        """Return what is to be done now.

        :param runner_by_id: the list's runners of this service.
        :param now: monotonic ms.
        """
        self._out = []
        if len(self._given) > _MOST_GIVEN:
            self._given = {
                k: at for k, at in self._given.items() if now - at < _AGAIN
            }
        if len(runner_by_id) > self._listed:
            self._grown_at = now
        self._listed = len(runner_by_id)
        self.lives.listed(runner_by_id, now)
        sizes = {m.name: m.size for m in self.spec.model_by_name.values()}
        found = standings.census(self.lives.known(), sizes)
        self._remember()
        busy: set[str] = set()
        count_by_model: collections.Counter[str] = collections.Counter()
        spare = collections.Counter(
            r.domain for r in self._candidates() if r.membership is None
        )
        for key, standing in found.items():
            if self._settle(standing, spare, now):
                busy.update(r.id for r in standing.member_by_rank.values())
                if key not in self._dissolved:
                    count_by_model[key.model] += 1
        busy |= self._bound_to_lost_heads(now)
        busy |= self._bound_to_doubtful_heads(now)
        for key, pending in list(self._pending.items()):
            self._advance(pending, found.get(key), now)
            if key in self._pending:
                busy.update(pending.members)
                if key not in found:
                    count_by_model[key.model] += 1
        free = [r for r in self._candidates() if r.id not in busy]
        self._form(free, count_by_model, now)
        self._stage_members(found, now)
        for runner in self.lives.due(now):
            if self.lives.find(runner) is not None:
                self._out.append(orders.Look(runner))
        return self._out

    def _remember(self) -> None:
        for runner in self.lives.known():
            held = runner.membership
            if held is not None:
                place = runner.id, runner.born
                self._last_model[place] = held.key.model
                if not held.rank:
                    self._head_by_key[held.key] = runner.id

    def _candidates(self) -> list[runners.Runner]:
        return [
            runner
            for runner in self.lives.known()
            if self.lives.is_listed(runner.id)
            and not runner.leaving
            and not self.lives.is_doubted(runner.id)
        ]

    def _settle(
        self,
        standing: standings.Standing,
        spare: collections.Counter[str],
        now: clock.Ms,
    ) -> bool:
        """Act on one replica; tell whether its members are bound to it."""
        key = standing.key
        if key in self._pending:
            return True
        head = standing.head
        if head is None:
            return self._await_break(standing, now)
        self._headless.pop(key, None)
        self._unknown_since.pop(key, None)
        if not self.lives.is_reachable(head.datacentre):
            return True
        if standing.phase in phases.SERVING:
            if self._is_sound(standing, spare):
                self._dissolved.pop(key, None)
                return True
            self._close(standing, now)
            return True
        if standing.is_ready() and key not in self._dissolved:
            # Formed by a leader that did not come to open it.
            self._adopt(standing, now)
            return True
        return False

    def _is_sound(
        self, standing: standings.Standing, spare: collections.Counter[str]
    ) -> bool:
        head = standing.head
        if head.leaving or not self.lives.is_listed(head.id):
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
        since = self._dissolved.setdefault(standing.key, now)
        # With a member lost nothing that runs can end; else it may.
        whole = standing.is_complete() and now - since < _FINISH
        kind = _Kind.CLOSE if whole else _Kind.CUT
        if whole and standing.phase is _Phase.CLOSING:
            return
        self._give(orders.Order(kind, standing.head.id, standing.key), now)

    def _await_break(
        self, standing: standings.Standing, now: clock.Ms
    ) -> bool:
        # The head is lost, or it only can't be seen from here and goes on
        # serving.  Once all others have left it stands still, and breaks;
        # until then a member that joined elsewhere would belong to two.
        key = standing.key
        self._dissolved.setdefault(key, now)
        members = list(standing.member_by_rank.values())
        datacentre = members[0].datacentre
        head = self._head_by_key.get(key)
        if head is not None and self._has_moved_on(head, key):
            return False
        if not self.lives.is_reachable(datacentre):
            # The head is behind a cut, and may well be serving there.
            return True
        if not self._is_missed(key, head, now):
            return True
        held = self._headless.get(key)
        if held is None:
            until = now + self._stall + _BREAK_MARGIN
            held = self._headless[key] = _Headless(head or "", until, set())
        for runner in members:
            # Kept in mind, since those that have left tell of no group.
            held.members.add(runner.id)
            self._give(orders.Order(_Kind.LEAVE, runner.id, key), now)
        return True

    def _is_missed(
        self, key: membership.GroupKey, head: str | None, now: clock.Ms
    ) -> bool:
        """Tell whether a head is lost, and not only told of later."""
        if head is not None and self.lives.find(head) is not None:
            return self.lives.is_lost(head)
        # After an outage of the list its entries come back one by one.
        since = self._unknown_since.setdefault(key, now)
        return now - since >= _BACK

    def _bound_to_lost_heads(self, now: clock.Ms) -> set[str]:
        bound: set[str] = set()
        for key, held in list(self._headless.items()):
            moved = held.head and self._has_moved_on(held.head, key)
            if now >= held.until or moved:
                del self._headless[key]
            else:
                bound |= held.members
        return bound

    def _has_moved_on(self, head: str, key: membership.GroupKey) -> bool:
        now_there = self.lives.find(head)
        if now_there is None or self.lives.is_lost(head):
            return False
        held = now_there.membership
        return held is None or held.key != key

    def _adopt(self, standing: standings.Standing, now: clock.Ms) -> None:
        members = tuple(
            standing.member_by_rank[rank].id for rank in range(standing.size)
        )
        until = now + _JOIN_MARGIN
        self._pending[standing.key] = pendings.Pending(
            standing.key, members, now, until
        )

    def _advance(
        self,
        pending: pendings.Pending,
        standing: standings.Standing | None,
        now: clock.Ms,
    ) -> None:
        if standing is not None and standing.phase is _Phase.OPEN:
            del self._pending[pending.key]
            return
        lost = any(
            self.lives.is_lost(m) or not self.lives.is_listed(m)
            for m in pending.members
        )
        if lost or now >= pending.until:
            self._give_up(pending, now)
            return
        if standing is not None and standing.is_ready():
            pending.opened = True
            self._give(
                orders.Order(_Kind.OPEN, pending.members[0], pending.key), now
            )
            return
        self._join(pending, now)

    def _give_up(self, pending: pendings.Pending, now: clock.Ms) -> None:
        del self._pending[pending.key]
        self._dissolved[pending.key] = now
        if pending.opened:
            # The head may be open though the list does not show it yet, or
            # open later if the order had no answer.  A member that joined
            # another group meanwhile would belong to two.
            answered = pending.key in self._open_answered
            span = _SEEN if answered else _LATEST
            self._doubtful[pending.key] = _Doubtful(
                pending.members, now + span
            )

    def told(self, what: orders.Order, told: orders.Told) -> None:
        """Take in what came back of an order.

        :param what: the order.
        :param told: the runner's answer.
        """
        if what.kind is _Kind.OPEN and told is not orders.Told.SILENT:
            self._open_answered.add(what.key)

    def _bound_to_doubtful_heads(self, now: clock.Ms) -> set[str]:
        bound: set[str] = set()
        for key, held in list(self._doubtful.items()):
            head = held.members[0]
            if now >= held.until or self._has_moved_on(head, key):
                del self._doubtful[key]
                continue
            bound.update(held.members)
            self._give(orders.Order(_Kind.CUT, head, key), now)
        return bound

    def _join(self, pending: pendings.Pending, now: clock.Ms) -> None:
        for member in pending.members:
            runner = self.lives.find(member)
            held = runner.membership if runner else None
            if held is not None and held.key == pending.key:
                continue
            self._give(
                orders.Order(
                    _Kind.JOIN,
                    member,
                    pending.key,
                    pending.key.model,
                    pending.members,
                ),
                now,
            )

    def _form(
        self,
        free: list[runners.Runner],
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> None:
        by_domain: dict[str, list[runners.Runner]] = {}
        for runner in free:
            by_domain.setdefault(runner.domain, []).append(runner)
        # A replica that can serve in two seconds goes before one that is in
        # more need and has to load weights for many.
        while self._form_one(by_domain, count_by_model, now, quick=True):
            pass
        while self._form_one(by_domain, count_by_model, now, quick=False):
            pass
        self._stage_spares(by_domain, count_by_model, now)

    def _form_one(
        self,
        by_domain: dict[str, list[runners.Runner]],
        count_by_model: collections.Counter[str],
        now: clock.Ms,
        quick: bool,
    ) -> bool:
        for model in self.need.ranked(self.spec.model_by_name, count_by_model):
            domain = self._fitting(by_domain, model, quick)
            if domain is None:
                if self._is_filling(now):
                    return False
                continue
            members = self._members(by_domain[domain], model)
            # Where weights are missing it is counted as formed all the
            # same, or the next in need would take its members.
            if quick or self._has_weights(members, model, now):
                self._begin(members, model, now)
            count_by_model[model.name] += 1
            self._take(by_domain[domain], members)
            return True
        return False

    def _fitting(
        self,
        by_domain: dict[str, list[runners.Runner]],
        model: modelspec.ModelSpec,
        quick: bool,
    ) -> str | None:
        # The domain that is left with the fewest: a larger rest may still
        # take a larger replica.
        fits = []
        for domain, there in by_domain.items():
            if len(there) < model.size:
                continue
            prices = [
                self._price(r, model) for r in self._members(there, model)
            ]
            if quick and not self.early and max(prices) >= model.load:
                continue
            fits.append((sum(prices), len(there), domain))
        return min(fits)[2] if fits else None

    def _members(
        self, there: list[runners.Runner], model: modelspec.ModelSpec
    ) -> list[runners.Runner]:
        ranked = sorted(there, key=lambda r: (self._price(r, model), r.id))
        chosen = ranked[: model.size]
        # A cold head would bear only a part of the replica's requests.
        return sorted(chosen, key=lambda r: (r.cold_until, r.id))

    def _price(
        self, runner: runners.Runner, model: modelspec.ModelSpec
    ) -> int:
        """Return roughly how long a join takes, in ms."""
        if self._last_model.get((runner.id, runner.born)) == model.name:
            return 200
        if model.name in runner.staged:
            return model.warm
        return model.load

    def _has_weights(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> bool:
        if self.early:
            return True
        lacking = [r for r in members if self._price(r, model) == model.load]
        for runner in lacking:
            self._stage(runner, model, now)
        return not lacking

    def _begin(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        self._epoch += 1
        key = membership.GroupKey(f"{model.name}~{self._epoch}", self._epoch)
        ids = tuple(runner.id for runner in members)
        span = max(self._price(r, model) for r in members)
        until = now + span + _JOIN_MARGIN
        pending = pendings.Pending(key, ids, now, until)
        self._pending[key] = pending
        self._join(pending, now)

    def _is_filling(self, now: clock.Ms) -> bool:
        # Runners register one by one at the first start.  Replicas of the
        # smaller model would take the places of the larger one, which is
        # in more need and only does not fit yet.
        return self.early and now - self._grown_at < _FILLING

    def _stage_spares(
        self,
        by_domain: dict[str, list[runners.Runner]],
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> None:
        for there in by_domain.values():
            held = collections.Counter(
                name for runner in there for name in runner.staged[:1]
            )
            for runner in there:
                if runner.staged:
                    continue
                model = self._most_lost(held, count_by_model)
                if model is None:
                    return
                held[model.name] += 1
                self._stage(runner, model, now)

    def _stage_members(
        self,
        found: dict[membership.GroupKey, standings.Standing],
        now: clock.Ms,
    ) -> None:
        # A member keeps its own model's weights while it is in the group
        # and can join another of that model at once, so what lies staged on
        # its host had better be another model: whatever is left of a
        # replica that lost a member can then form either within seconds.
        others = {
            name: [
                m for m in self.spec.model_by_name.values() if m.name != name
            ]
            for name in self.spec.model_by_name
        }
        for key, standing in found.items():
            if standing.phase is not _Phase.OPEN or not others[key.model]:
                continue
            wanted = max(others[key.model], key=lambda m: m.share / m.size)
            for runner in standing.member_by_rank.values():
                listed = self.lives.is_listed(runner.id)
                doubted = self.lives.is_doubted(runner.id)
                if listed and not doubted and wanted.name not in runner.staged:
                    self._stage(runner, wanted, now)

    def _most_lost(
        self,
        held: collections.Counter[str],
        count_by_model: collections.Counter[str],
    ) -> modelspec.ModelSpec | None:
        # A replica of twice the size loses members twice as often.
        models = self.spec.model_by_name.values()
        return max(
            models,
            key=lambda m: (
                m.size * max(1, count_by_model[m.name]) / (1 + held[m.name])
            ),
            default=None,
        )

    def _stage(
        self,
        runner: runners.Runner,
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        name, since = self._staging.get(runner.id, ("", 0))
        if name and now - since < self.spec.model_by_name[name].load + _AGAIN:
            return
        if self.early and self._is_filling(now):
            return
        most = max(1, int(_LOAD_SHARE * self.spec.loads_per_second))
        if not self.early and self._loads.count(now) >= most:
            return
        self._loads.add(now)
        self._staging[runner.id] = model.name, now
        self._give(orders.Order(_Kind.STAGE, runner.id, None, model.name), now)

    def _take(
        self, there: list[runners.Runner], members: list[runners.Runner]
    ) -> None:
        for runner in members:
            there.remove(runner)

    def _give(self, what: orders.Order, now: clock.Ms) -> None:
        place = what.kind, what.runner, what.key, what.model
        at = self._given.get(place)
        if at is not None and now - at < _AGAIN:
            return
        self._given[place] = now
        self._out.append(what)
