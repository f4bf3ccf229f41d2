"""Losses of a large site: domains of 35 runners, models of 16 and 4.

Pattern: every 3.2 s five members of different large replicas of one data
centre die, and from the fourth time on six empty runners are added.
"""

import random
import time
from typing import NamedTuple

from citronvalve.routes import modelspec
from tests.replicas import world as worlds

LARGE, SMALL = "m0", "m1"
DATACENTRES = 5
DOMAIN_SIZE = 35
MODELS = {
    LARGE: modelspec.ModelSpec(LARGE, 16, 0.5, 1.0, 16_000, 1_600),
    SMALL: modelspec.ModelSpec(SMALL, 4, 0.5, 0.6, 12_000, 1_100),
}
LOSS_INTERVAL = 3_200
_FORMING_TIME = 16_000
_LOST_EACH_TIME = 5
_ADDED_EACH_TIME = 6
_ROUNDS_BEFORE_ADDING = 3


class State(NamedTuple):
    """Open replicas of each model, and runners without a group."""

    at: int
    large: int
    small: int
    free: int


class LargeSite:
    """The planner before so many domains, and what each plan took."""

    def __init__(self, domains, models=None, heads_too=True):
        self.domains = domains
        self._heads_too = heads_too
        self.rng = random.Random(domains)
        self.world = worlds.World(
            0,
            0,
            models=models or MODELS,
            weight_loads_per_second=73.0,
            max_concurrent_loads=109,
        )
        self.plan_times = []
        self.states = []
        self._added = 0
        for domain in range(domains):
            for number in range(DOMAIN_SIZE):
                self._add(f"r{domain}-{number}", domain, True, number)
        self._time_plans()

    def form(self):
        """Form the first replicas, before any traffic."""
        self.world.planner.before_traffic = True
        self.world.run(_FORMING_TIME)
        self.world.planner.before_traffic = False
        self.plan_times.clear()

    def lose(self, rounds):
        """Lose members again and again."""
        for number in range(rounds):
            for name in self._victims(number):
                self.world.crash(name)
                self.world.unlisted.add(name)
            if number >= _ROUNDS_BEFORE_ADDING:
                self._add_empty(number)
            for _ in range(LOSS_INTERVAL // worlds.STEP):
                self.world.step()
                self.states.append(self.state())

    def state(self):
        """Return what stands now."""
        unreachable = self.world.unreachable
        return State(
            self.world.now,
            len(self.world.open_heads(LARGE)),
            len(self.world.open_heads(SMALL)),
            sum(
                runner.membership is None and runner.id not in unreachable
                for runner in self.world.runner_by_id.values()
            ),
        )

    def _victims(self, number):
        datacentre = f"zone-{number % DATACENTRES}"
        heads = [
            head
            for head in self.world.open_heads(LARGE)
            if head.datacentre == datacentre
        ]
        chosen = heads[:_LOST_EACH_TIME]
        return [self._victim(head.id) for head in chosen]

    def _victim(self, head):
        members = self.world.members(head)
        if not self._heads_too:
            # A lost head keeps its members reserved until it must have
            # broken, for longer than the interval of the losses.
            members.remove(head)
        return self.rng.choice(members)

    def _add_empty(self, number):
        for n in range(_ADDED_EACH_TIME):
            self._added += 1
            domain = (number * 7 + n) % self.domains
            self._add(f"new{self._added}", domain, False, 0)

    def _add(self, name, domain, staged, number):
        datacentre = f"zone-{domain % DATACENTRES}"
        self.world.add(name, datacentre, f"d{domain}", staged, number)

    def _time_plans(self):
        step = self.world.planner.step

        def timed(*args):
            began = time.process_time()
            given = step(*args)
            self.plan_times.append((time.process_time() - began) * 1_000)
            return given

        self.world.planner.step = timed
