"""Waiting by green threads; the only module here that knows of eventlet."""

from collections.abc import Callable

import eventlet
from eventlet import event

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import settled
from citronvalve.once import waiting


class GreenTicket(waiting.Ticket):
    """A ticket whose holder sleeps until its end is told."""

    def __init__(self) -> None:
        self._event = event.Event()
        self._end: settled.Settled | None = None

    def give(self, end: settled.Settled) -> None:
        self._end = end
        self._event.send()

    def wait(self, span: clock.Ms) -> settled.Settled | missing.Unavailable:
        if self._end is None:
            self._event.wait(timeout=span / clock.SECOND)
        # An end told in the moment of the timeout counts: a claim that took
        # effect and that nobody uses would bar its key.
        if self._end is None:
            return missing.Unavailable(f"no answer within {span} ms")
        return self._end


class GreenWaiting(waiting.Waiting):
    """Tickets and a loop within one hub."""

    def __init__(self) -> None:
        self._bell = event.Event()

    def ticket(self) -> waiting.Ticket:
        return GreenTicket()

    def wake(self) -> None:
        if not self._bell.ready():
            self._bell.send()

    def sleep(self, span: clock.Ms) -> None:
        self._bell.wait(timeout=span / clock.SECOND)
        if self._bell.ready():
            self._bell = event.Event()

    def pause(self, span: clock.Ms) -> None:
        eventlet.sleep(span / clock.SECOND)

    def start(self, work: Callable[[], None]) -> None:
        eventlet.spawn(work)
