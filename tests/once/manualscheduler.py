"""Waiting for tests: nothing blocks, the test redeems the tickets."""

from citronvalve.model import missing
from citronvalve.once import scheduler


class ManualFuture(scheduler.Future):
    """A ticket that holds its end, if it has one by now."""

    def __init__(self):
        self.result = None

    def set_result(self, result):
        assert self.result is None, "an end was told twice"
        self.result = result

    def wait(self, timeout):
        return self.result or missing.Unavailable("out of time")


class ManualScheduler(scheduler.Scheduler):
    """Tickets without a loop."""

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
