"""Losses of a site whose large replicas take the place of four small ones.

Pattern: 9 domains of 18 runners, models of 8 and 2.  Every 3.2 s a member of
a large and of a small replica of one data centre dies, and from the fourth
time on two empty runners are added.  The load of each model is held.
"""

from typing import NamedTuple

from citronvalve.replicas import order as orders
from citronvalve.routes import modelspec
from tests.replicas import world as worlds

LARGE, SMALL = "m0", "m1"
MODELS = {
    LARGE: modelspec.ModelSpec(LARGE, 8, 0.5, 1.0, 16_000, 1_600),
    SMALL: modelspec.ModelSpec(SMALL, 2, 0.5, 0.6, 12_000, 1_100),
}
_DOMAINS, _DOMAIN_SIZE, _DATACENTRES = 9, 18, 3
_FORMING_TIME = 16_000
_LOSS_INTERVAL = 3_200
_ROUNDS_BEFORE_ADDING = 3
_ADDED_EACH_TIME = 2


class State(NamedTuple):
    """Open replicas of each model, and runners without a group."""

    large: int
    small: int
    free: int


class ShiftedSite:
    """The planner before such domains, under loads that are held."""

    def __init__(self):
        self.world = worlds.World(
            0,
            0,
            models=MODELS,
            slots=10,
            weight_loads_per_second=14.0,
            max_concurrent_loads=20,
        )
        self.load = {LARGE: 0.0, SMALL: 0.0}
        self.states = []
        self._added = 0
        for domain in range(_DOMAINS):
            for number in range(_DOMAIN_SIZE):
                self._add(f"r{domain}-{number}", domain, True, number)
        self.world.planner.before_traffic = True
        self.world.run(_FORMING_TIME)
        self.world.planner.before_traffic = False

    def run(self, span):
        """Hold the load for some ms."""
        for _ in range(span // worlds.STEP):
            self.world.planner.demand.observe(self.load, self.world.now)
            self.world.step()
            self.states.append(self._state())

    def lose(self, rounds):
        """Lose members again and again."""
        for number in range(rounds):
            for model in MODELS:
                self._lose_member(model, number)
            if number >= _ROUNDS_BEFORE_ADDING:
                self._add_empty(number)
            self.run(_LOSS_INTERVAL)

    def closures(self):
        """Return the groups of complete replicas that were closed."""
        return {
            order.key
            for _, order in self.world.sent
            if order.kind is orders.OrderKind.CLOSE
        }

    def _lose_member(self, model, number):
        datacentre = f"zone-{number % _DATACENTRES}"
        head = next(
            head
            for head in self.world.open_heads(model)
            if head.datacentre == datacentre
        )
        victim = next(m for m in self.world.members(head.id) if m != head.id)
        self.world.crash(victim)
        self.world.unlisted.add(victim)

    def _add_empty(self, number):
        for each in range(_ADDED_EACH_TIME):
            self._added += 1
            domain = (number * 2 + each) % _DOMAINS
            self._add(f"new{self._added}", domain, False, 0)

    def _add(self, name, domain, staged, number):
        datacentre = f"zone-{domain % _DATACENTRES}"
        self.world.add(name, datacentre, f"d{domain}", staged, number)

    def _state(self):
        unreachable = self.world.unreachable
        return State(
            len(self.world.open_heads(LARGE)),
            len(self.world.open_heads(SMALL)),
            sum(
                runner.membership is None and runner.id not in unreachable
                for runner in self.world.runner_by_id.values()
            ),
        )
