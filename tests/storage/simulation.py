"""Tasks on simulated time; their calls overlap as in a real process."""

import heapq
import itertools

import greenlet

from citronvalve.model import clock
from citronvalve.model import manualclock


class Simulation:
    """Runs tasks one at a time, ordered by due time."""

    def __init__(self):
        self.clock = manualclock.ManualClock(100_000)
        self._due = []
        self._serial = itertools.count()
        self._main = greenlet.getcurrent()

    def call_later(self, delay, function):
        """Run a function as a new task after some ms."""
        task = greenlet.greenlet(function, self._main)
        at = self.clock.now() + delay
        heapq.heappush(self._due, (at, next(self._serial), task))

    def sleep(self, seconds):
        """Suspend the calling task; others run meanwhile."""
        at = self.clock.now() + max(1, round(seconds * clock.SECOND))
        current = greenlet.getcurrent()
        heapq.heappush(self._due, (at, next(self._serial), current))
        self._main.switch()

    def run(self, duration):
        """Advance the time by some ms and run the tasks that are due."""
        end_at = self.clock.now() + duration
        while self._due and self._due[0][0] <= end_at:
            at, _, task = heapq.heappop(self._due)
            self.clock.advance(max(0, at - self.clock.now()))
            task.switch()
        self.clock.advance(end_at - self.clock.now())
