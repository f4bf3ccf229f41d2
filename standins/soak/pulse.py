"""Whether the soak's own process kept running, and if not, why."""

import pathlib
import time
from typing import NamedTuple

import eventlet

from standins.soak import ledger as ledgers

#: Seconds between two beats.
_EVERY = 0.02

#: A beat that comes so many seconds late is kept: daemons take a replica
#: for standing still after 0.35 s of silence.
_LATE = 0.1

#: Time on a processor and time in the queue for one, in ns; Linux only.
_SCHEDULED = pathlib.Path("/proc/thread-self/schedstat")


class Stall(NamedTuple):
    """A time in which no task of the process ran, all in seconds.

    ``at`` is its end since the soak began.  ``working`` was spent on a
    processor and ``queued`` in the queue for one; the rest the process was
    blocked in a system call.
    """

    at: float
    lasted: float
    working: float
    queued: float

    def __str__(self) -> str:
        blocked = max(0.0, self.lasted - self.working - self.queued)
        return (
            f"{self.lasted:.2f} s until {self.at:.2f}: {self.working:.2f} "
            f"working, {self.queued:.2f} in the queue for a processor, "
            f"{blocked:.2f} blocked"
        )


class Pulse:
    """Beats in the process that plays runners, store, relays and callers.

    While that process does not run, all runners are silent to all daemons at
    once.  Without this, such a silence looks like one of the daemons' making.

    :param book: the accounts.
    :ivar stalls: the beats that came late, by time.
    """

    def __init__(self, book: ledgers.Ledger) -> None:
        self._book = book
        self.stalls: list[Stall] = []

    def run(self) -> None:
        """Beat until killed."""
        before, used = time.monotonic(), _scheduled()
        while True:
            eventlet.sleep(_EVERY)
            now, spent = time.monotonic(), _scheduled()
            if now - before - _EVERY > _LATE:
                self._book.stood_still(spent[1] - used[1])
                self.stalls.append(
                    Stall(
                        self._book.now,
                        now - before,
                        spent[0] - used[0],
                        spent[1] - used[1],
                    )
                )
            before, used = now, spent


def _scheduled() -> tuple[float, float]:
    """Return seconds on a processor and in the queue for one, so far."""
    if not _SCHEDULED.exists():
        return time.thread_time(), 0.0
    fields = _SCHEDULED.read_text().split()
    return int(fields[0]) / 1e9, int(fields[1]) / 1e9
