"""Scheduler for tests that never blocks."""

from citronvalve.model import missing
from citronvalve.once import scheduler


class ManualFuture(scheduler.Future):
    """A future that returns its result, or missing if there is none yet."""

    def __init__(self):
        self.result = None

    def set_result(self, result):
        assert self.result is None, "the result was set twice"
        self.result = result

    def wait(self, timeout):
        return self.result or missing.Unavailable("timed out")


class ManualScheduler(scheduler.Scheduler):
    """Scheduler without a commit loop."""

    def future(self):
        return ManualFuture()

    def wake(self):
        pass

    def wait_for_wake(self, timeout):
        raise AssertionError("no loop runs in this test")

    def sleep(self, duration):
        raise AssertionError("no loop runs in this test")

    def spawn(self, function):
        function()
