"""Tasks that wait on simulated time, so that calls overlap as in a process."""

import heapq
import itertools

import greenlet

from citronvalve.model import clock
from citronvalve.model import manualclock


class Simulation:
    """Runs tasks one at a time, in the order in which they are due."""

    def __init__(self):
        self.clock = manualclock.ManualClock(100_000)
        self._due = []
        self._serial = itertools.count()
        self._main = greenlet.getcurrent()

    def after(self, span, act):
        """Run a function as a task of its own after some ms."""
        task = greenlet.greenlet(act, self._main)
        at = self.clock.now() + span
        heapq.heappush(self._due, (at, next(self._serial), task))

    def sleep(self, seconds):
        """Let the calling task wait; others run meanwhile."""
        at = self.clock.now() + max(1, round(seconds * clock.SECOND))
        current = greenlet.getcurrent()
        heapq.heappush(self._due, (at, next(self._serial), current))
        self._main.switch()

    def run(self, span):
        """Let some ms pass."""
        until = self.clock.now() + span
        while self._due and self._due[0][0] <= until:
            at, _, task = heapq.heappop(self._due)
            self.clock.advance(max(0, at - self.clock.now()))
            task.switch()
        self.clock.advance(until - self.clock.now())
