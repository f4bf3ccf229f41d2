"""Faults at random in a fleet that follows one table."""

import random
from typing import NamedTuple

_TICK = 25


class Wrong(NamedTuple):
    """How long a daemon was wrong of a key while it had a way to the truth.

    ``held`` tells a row that is gone from one that the daemon lacks.
    """

    daemon: str
    key: str
    held: bool
    at: int
    span: int
    turned_away: bool


class _Watch:
    """Measures for how long each daemon is wrong of each key."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._since = {}
        self.found = []

    def tick(self):
        """Compare all daemons with the store."""
        now = self._fleet.sim.clock.now()
        wrong = {
            (name, *what, self._fleet.daemon_by_name[name].access.refused)
            for name, wrongs in self._fleet.wrong().items()
            for what in wrongs
            if self._fleet.reaches_truth(name)
        }
        for place in list(self._since.keys() - wrong):
            since = self._since.pop(place)
            self._found(place, since, now)
        for place in wrong:
            self._since.setdefault(place, now)

    def close(self):
        """Count what is still wrong."""
        now = self._fleet.sim.clock.now()
        for place, since in self._since.items():
            self._found(place, since, now)

    def _found(self, place, since, now):
        *what, turned_away = place
        self.found.append(Wrong(*what, since, now - since, turned_away))


def _cut(fleet, chance):
    daemon = chance.choice(list(fleet.daemon_by_name.values()))
    daemon.cut = not daemon.cut


def _refuse(fleet, chance):
    daemon = chance.choice(list(fleet.daemon_by_name.values()))
    daemon.access.refused = not daemon.access.refused


def _slow(fleet, chance):
    daemon = chance.choice(list(fleet.daemon_by_name.values()))
    daemon.access.way_back = chance.choice((8, 8, 40, 150))


def _lead(fleet, chance):
    fleet.leader = chance.choice(list(fleet.daemon_by_name))


def _restart(fleet, chance):
    fleet.start(chance.choice(list(fleet.daemon_by_name)))


def _put(fleet, chance):
    fleet.store.put(f"k-{chance.randrange(8)}")


def _drop(fleet, chance):
    keys = sorted(fleet.store.keys())
    if len(keys) > 1:
        fleet.store.drop(chance.choice(keys))


def _forget(fleet, chance):
    fleet.store.forget()


def _drop_and_forget(fleet, chance):
    _drop(fleet, chance)
    fleet.sim.run(chance.choice((0, 0, 5, 20, 60, 200)))
    fleet.store.forget()


_FAULTS = (
    *(_cut, _refuse, _slow, _lead, _restart),
    *(_put, _put, _drop, _drop, _forget, _drop_and_forget),
)


def play(fleet, span, seed):
    """Let faults strike; return each time at which a daemon was wrong."""
    chance = random.Random(seed)
    watch = _Watch(fleet)
    until = fleet.sim.clock.now() + span
    strikes_at = 0
    while fleet.sim.clock.now() < until:
        if fleet.sim.clock.now() >= strikes_at:
            chance.choice(_FAULTS)(fleet, chance)
            pause = chance.choice((20, 100, 400, 1_500, 4_000))
            strikes_at = fleet.sim.clock.now() + pause
        fleet.sim.run(_TICK)
        watch.tick()
    watch.close()
    return watch.found
