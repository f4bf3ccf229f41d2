"""Waiting for tests: nothing blocks, the test redeems the tickets."""

from citronvalve.model import missing
from citronvalve.once import waiting


class HandTicket(waiting.Ticket):
    """A ticket that holds its end, if it has one by now."""

    def __init__(self):
        self.end = None

    def give(self, end):
        assert self.end is None, "an end was told twice"
        self.end = end

    def wait(self, span):
        return self.end or missing.Unavailable("out of time")


class HandWaiting(waiting.Waiting):
    """Tickets without a loop."""

    def ticket(self):
        return HandTicket()

    def wake(self):
        pass

    def sleep(self, span):
        raise AssertionError("no loop runs in this test")

    def pause(self, span):
        raise AssertionError("no loop runs in this test")

    def start(self, work):
        work()
