"""One replica: requests in its slots, in passes, by the engine's figures."""

import collections

from citronvalve.policy import enginepace


class Job:
    """One try of a request, which waits behind the others if it is late.

    ``first_at`` is when its first event was sent, and ``last_at`` the last
    one, both in ms.
    """

    __slots__ = (
        "call",
        "events_left",
        "first_at",
        "largest_gap",
        "last_at",
        "late",
        "prompt",
    )

    def __init__(self, call, prompt, events, late):
        self.call = call
        self.prompt = prompt
        self.events_left = events
        self.late = late
        self.first_at = None
        self.last_at = None
        self.largest_gap = 0.0


class Engine:
    """A replica that serves requests; late ones wait behind the others."""

    def __init__(self, spec, time_factor, schedule):
        self._spec = spec
        self._pace = enginepace.EnginePace(spec, time_factor)
        self._schedule = schedule
        self._running = []
        self._waiting = collections.deque()
        self._late = collections.deque()
        self._busy = False
        self.stalled = False
        self.on_end = lambda job: None

    @property
    def jobs(self):
        """Return all requests here."""
        return [*self._running, *self._waiting, *self._late]

    @property
    def waiting_count(self):
        """Return how many requests have no slot."""
        return len(self._waiting) + len(self._late)

    @property
    def late_count(self):
        """Return how many late requests wait."""
        return len(self._late)

    def add(self, job, now):
        """Take a request."""
        (self._late if job.late else self._waiting).append(job)
        if not self._busy:
            self._begin_pass(now)

    def _begin_pass(self, now):
        if self.stalled:
            return
        prefill = 0.0
        while len(self._running) < self._spec.slots and self.waiting_count:
            job = (self._waiting or self._late).popleft()
            prefill += self._pace.prefill_time(job.prompt)
            self._running.append(job)
        self._busy = bool(self._running)
        if not self._busy:
            return
        step = self._pace.step_time(len(self._running))
        end = now + prefill + self._spec.steps_per_pass * step
        self._schedule(end, lambda: self._end_pass(end))

    def _end_pass(self, now):
        if self.stalled:
            return
        ended = []
        for job in self._running:
            if job.first_at is None:
                job.first_at = now
            else:
                job.largest_gap = max(job.largest_gap, now - job.last_at)
            job.last_at = now
            job.events_left -= 1
            if job.events_left <= 0:
                ended.append(job)
        for job in ended:
            self._running.remove(job)
            self.on_end(job)
        self._begin_pass(now)
