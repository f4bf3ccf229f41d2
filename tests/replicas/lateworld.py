"""Runners that carry out orders late, while leaders change."""

import functools
import random

from citronvalve.replicas import phase
from tests.replicas import world as worlds

#: Ms after which an order without an answer is carried out.
_LATENESS = (2_000, 12_000)

#: Part of the orders that are late while some are, and for how long.
_LATE_SHARE, _LATE_SPAN = 0.35, 2_500

#: Ms of a round, and from the return of its runners to its other troubles.
_ROUND = (5_000, 9_000)
_AFTER_RETURN = (0, 1_500)

#: Ms for which nobody leads, at most.
_LEADERLESS = 1_500

#: Ms for which crashed runners are down.
_DOWN = 2_000

#: Ms that a head takes to open.
_FORM_TIME = 300


class LateWorld(worlds.World):
    """A world in which leaders change, runners crash and orders are late.

    :param seed: draws when and what.
    :ivar leaders: leaders so far.
    :ivar late: orders that were carried out late, by kind.
    """

    def __init__(self, domains, size, seed):
        self._chance = random.Random(seed)
        self._late_until = 0
        self._due = []
        self._leaderless_until = 0
        self._left_at_by_id = {}
        self._lost_ranks_by_key = {}
        self.leaders = 0
        self.late = []
        super().__init__(domains, size)
        self.form_time = _FORM_TIME

    def start_leader(self, lease):
        """Replace the planner; it knows who was ordered to leave."""
        recorded = frozenset()
        if self.leaders:
            recorded = self.planner.left_runners()
        super().start_leader(lease)
        self.leaders += 1
        self.planner.inherit_left(
            {
                name: self._left_at_by_id[name]
                for name in recorded
                if name in self._left_at_by_id
            }
        )

    def trouble(self, rounds):
        """Play rounds of troubles, which overlap.

        :param rounds: in each, domains crash and come back, leaders change
            and orders are late.
        """
        for _ in range(rounds):
            for domain in self._chance.sample(sorted(self._domains()), 2):
                self._crash_some(domain)
            back = self.now + _DOWN
            changes = self._chance.choice((1, 1, 2, 3))
            for act in (*(self._change_leader,) * changes, self._be_late):
                at = back + self._chance.randint(*_AFTER_RETURN)
                self._due.append((at, act))
            self.run(self._chance.randint(*_ROUND))

    def step(self):
        if self.now < self._leaderless_until:
            self.history.append(dict(self.runner_by_id))
            self.now += worlds.STEP
            self._progress()
            self._check_groups()
            return
        super().step()

    def _change_leader(self):
        self._leaderless_until = self.now + self._chance.randint(
            0, _LEADERLESS
        )
        self.start_leader(self.leaders + 1)

    def _crash_some(self, domain):
        """Crash some runners of a domain; they are back 2 s later."""
        there = [
            r.id for r in self.runner_by_id.values() if r.domain == domain
        ]
        count = self._chance.choice((1, len(there)))
        for name in self._chance.sample(sorted(there), count):
            if name in self.dead:
                continue
            self.dead.add(name)
            self.crash(name)
            held = self.runner_by_id[name].membership
            if held is not None:
                self._suspect(held.key)
            back = self.now + _DOWN
            self._due.append((back, functools.partial(self._restart, name)))

    def _domains(self):
        return {r.domain for r in self.runner_by_id.values()}

    def _suspect(self, key):
        for runner in self.runner_by_id.values():
            held = runner.membership
            if held and held.key == key and not held.rank:
                self.planner.suspect_group(runner.id)

    def _restart(self, name):
        held = self.runner_by_id[name].membership
        if held is not None and held.phase is not phase.Phase.JOINING:
            lost = self._lost_ranks_by_key.setdefault(held.key, set())
            lost.add(held.rank)
        self.restart(name)
        self.dead.discard(name)
        self._left_membership_by_id.pop(name, None)

    def _be_late(self):
        self._late_until = self.now + _LATE_SPAN

    def _is_delayed(self, order):
        is_late = self.now < self._late_until
        if not is_late or self._chance.random() >= _LATE_SHARE:
            return False
        at = self.now + self._chance.randint(*_LATENESS)
        start_id = self.runner_by_id[order.runner].start_id
        carry_out = functools.partial(self._carry_out_late, order, start_id)
        self._due.append((at, carry_out))
        return True

    def _carry_out_late(self, order, start_id):
        # What was ordered of an earlier life is lost with it.
        if self.runner_by_id[order.runner].start_id == start_id:
            self.late.append(order.kind)
            self.carry_out(order)

    def _ranks(self, key):
        # A member that was ready and is lost excuses that it is missing.
        lost = self._lost_ranks_by_key.get(key, set())
        return super()._ranks(key) | lost

    def _on_leave(self, runner, order):
        held = runner.membership
        if held and held.key == order.key:
            self._left_at_by_id[runner.id] = self.now
        super()._on_leave(runner, order)

    def _progress(self):
        due = [one for one in self._due if one[0] <= self.now]
        self._due = [one for one in self._due if one[0] > self.now]
        for _, act in due:
            act()
        super()._progress()
