"""Random faults in a fleet that follows one table."""

import random
from typing import NamedTuple

_TICK = 25


class Mismatch(NamedTuple):
    """How long a daemon had a wrong row although it could read the table.

    ``is_held`` is true for a deleted row that the daemon has, false for a
    row that it lacks.
    """

    daemon: str
    key: str
    is_held: bool
    since: int
    duration: int
    is_rejected: bool


class _MismatchTracker:
    """Measures how long each daemon has a wrong row."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._since = {}
        self.mismatches = []

    def update(self):
        """Compare all daemons with the store."""
        now = self._fleet.sim.clock.now()
        mismatches = {
            (
                name,
                *key_and_state,
                self._fleet.daemon_by_name[name].store_client.is_rejected,
            )
            for name, wrong_keys in self._fleet.mismatches().items()
            for key_and_state in wrong_keys
            if self._fleet.can_read_table(name)
        }
        for mismatch in list(self._since.keys() - mismatches):
            since = self._since.pop(mismatch)
            self._record(mismatch, since, now)
        for mismatch in mismatches:
            self._since.setdefault(mismatch, now)

    def close(self):
        """Record the mismatches that have not ended."""
        now = self._fleet.sim.clock.now()
        for mismatch, since in self._since.items():
            self._record(mismatch, since, now)

    def _record(self, mismatch, since, now):
        *daemon_and_key, is_rejected = mismatch
        self.mismatches.append(
            Mismatch(*daemon_and_key, since, now - since, is_rejected)
        )


def _toggle_isolation(fleet, rng):
    daemon = rng.choice(list(fleet.daemon_by_name.values()))
    daemon.is_isolated = not daemon.is_isolated


def _toggle_rejection(fleet, rng):
    daemon = rng.choice(list(fleet.daemon_by_name.values()))
    daemon.store_client.is_rejected = not daemon.store_client.is_rejected


def _delay_responses(fleet, rng):
    daemon = rng.choice(list(fleet.daemon_by_name.values()))
    daemon.store_client.response_delay = rng.choice((8, 8, 40, 150))


def _change_leader(fleet, rng):
    fleet.leader = rng.choice(list(fleet.daemon_by_name))


def _restart(fleet, rng):
    fleet.start(rng.choice(list(fleet.daemon_by_name)))


def _put(fleet, rng):
    fleet.store.put(f"k-{rng.randrange(8)}")


def _delete(fleet, rng):
    keys = sorted(fleet.store.keys())
    if len(keys) > 1:
        fleet.store.delete(rng.choice(keys))


def _discard_history(fleet, rng):
    fleet.store.discard_history()


def _delete_and_discard_history(fleet, rng):
    _delete(fleet, rng)
    fleet.sim.run(rng.choice((0, 0, 5, 20, 60, 200)))
    fleet.store.discard_history()


_FAULTS = (
    *(
        _toggle_isolation,
        _toggle_rejection,
        _delay_responses,
        _change_leader,
        _restart,
    ),
    *(
        _put,
        _put,
        _delete,
        _delete,
        _discard_history,
        _delete_and_discard_history,
    ),
)


def inject_faults(fleet, duration, seed):
    """Inject random faults and return all mismatches."""
    rng = random.Random(seed)
    tracker = _MismatchTracker(fleet)
    end_at = fleet.sim.clock.now() + duration
    next_fault_at = 0
    while fleet.sim.clock.now() < end_at:
        if fleet.sim.clock.now() >= next_fault_at:
            rng.choice(_FAULTS)(fleet, rng)
            pause = rng.choice((20, 100, 400, 1_500, 4_000))
            next_fault_at = fleet.sim.clock.now() + pause
        fleet.sim.run(_TICK)
        tracker.update()
    tracker.close()
    return tracker.mismatches
