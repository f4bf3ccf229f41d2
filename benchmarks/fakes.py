"""A small upstream at the interface: slots, ramp, pace, lagging report."""

import collections
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load

#: How long a fake upstream that fell over is gone.
_DOWN: clock.Ms = 5_000


class Job(NamedTuple):
    """What an attempt costs an upstream, as only the upstream knows."""

    ticket: int
    service: clock.Ms
    first_token: clock.Ms
    kills: bool = False


class FakeUpstream:
    """Holds ``slots`` jobs, queues the rest, falls over when cold and full.

    :param row: as operators declare it.
    :ivar pace: factor on every service time.
    :ivar most_over: most that it held above what it could bear when cold.
    """

    def __init__(self, row: declared.Upstream) -> None:
        self.row = row
        self.pace = 1.0
        self.starts = 1
        self.falls = 0
        self.most_over = 0
        self.busy: clock.Ms = 0
        self.down_until: clock.Ms = 0
        self.running: set[int] = set()
        self.queue: collections.deque[Job] = collections.deque()
        self._cold_since: clock.Ms | None = None

    def bears(self, now: clock.Ms) -> int:
        """Return the jobs that it can hold."""
        if now < self.down_until:
            return 0
        if self._cold_since is None:
            return self.row.slots
        row = self.row
        passed = min(now - self._cold_since, row.ramp)
        return row.cold_slots + (row.slots - row.cold_slots) * passed // (
            row.ramp
        )

    def chill(self, now: clock.Ms, down: clock.Ms = 0) -> None:
        """Start afresh: what it held is lost, and it is cold."""
        self.starts += 1
        self.down_until = now + down
        self._cold_since = self.down_until
        self.running.clear()
        self.queue.clear()

    def offer(self, job: Job, now: clock.Ms) -> list[Job] | None:
        """Take a job; return those that run now, or None if it fell."""
        self.queue.append(job)
        held = len(self.running) + len(self.queue)
        if self._cold_since is not None:
            over = held - self.bears(now)
            self.most_over = max(self.most_over, over)
            if over > 0:
                return self._fall(now)
        if job.kills:
            return self._fall(now)
        return self.fill()

    def fill(self) -> list[Job]:
        """Run what waits as far as there are slots; return it."""
        begun = []
        while self.queue and len(self.running) < self.row.slots:
            job = self.queue.popleft()
            self.running.add(job.ticket)
            begun.append(job)
        return begun

    def report(self, now: clock.Ms) -> load.LoadReport | None:
        """Return its load, or None while it is down."""
        if now < self.down_until:
            return None
        if self._cold_since is not None:
            if now - self._cold_since >= self.row.ramp:
                self._cold_since = None
        return self._report(self.bears(now), now, str(self.starts))

    def _fall(self, now: clock.Ms) -> None:
        self.falls += 1
        self.chill(now, _DOWN)

    def _report(
        self, bears: int, now: clock.Ms, start_id: str
    ) -> load.LoadReport:
        return load.LoadReport(
            self.row.name,
            start_id,
            len(self.running),
            len(self.queue),
            bears,
            now,
        )


class FakeKeeper:
    """Lends the slots of cold upstreams to daemons, never more in sum."""

    def __init__(self, span: clock.Ms) -> None:
        self._span = span
        self._lent: dict[str, dict[int, int]] = {}
        self._bound: dict[str, int] = {}
        self._from: dict[str, clock.Ms] = {}

    def lend(
        self,
        upstream: str,
        bound: int,
        daemons: list[int],
        now: clock.Ms,
    ) -> dict[int, int]:
        """Return the slots lent to each daemon, for one span."""
        lent = self._lent.setdefault(upstream, {})
        if bound < self._bound.get(upstream, 0):
            # It started afresh: the old loans are waited out.
            lent.clear()
            self._from[upstream] = now + self._span
        self._bound[upstream] = bound
        if now < self._from.get(upstream, 0):
            return {}
        while sum(lent.values()) < bound and daemons:
            least = min(daemons, key=lambda one: lent.get(one, 0))
            lent[least] = lent.get(least, 0) + 1
        return dict(lent)


def spread(rng: random.Random, mean: clock.Ms) -> clock.Ms:
    """Return a service time near a mean, as batching engines give it."""
    return max(1, round(mean * rng.lognormvariate(0, 0.2)))
