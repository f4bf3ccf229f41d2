"""Scheduler on green threads; the only module here that uses eventlet."""

from collections.abc import Callable

import eventlet
from eventlet import event

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import changeresult
from citronvalve.once import scheduler


class GreenFuture(scheduler.Future):
    """A future that blocks the waiting green thread."""

    def __init__(self) -> None:
        self._event = event.Event()
        self._result: changeresult.ChangeResult | None = None

    def set_result(self, result: changeresult.ChangeResult) -> None:
        self._result = result
        self._event.send()

    def wait(
        self, timeout: clock.Ms
    ) -> changeresult.ChangeResult | missing.Unavailable:
        if self._result is None:
            self._event.wait(timeout=timeout / clock.SECOND)
        # A result set just as the timeout fires still counts.  Otherwise a
        # claim that took effect would block its key unused.
        if self._result is None:
            return missing.Unavailable(f"no result within {timeout} ms")
        return self._result


class GreenScheduler(scheduler.Scheduler):
    """Runs the commit loop and its futures in one eventlet hub."""

    def __init__(self) -> None:
        self._wake_event = event.Event()

    def future(self) -> scheduler.Future:
        return GreenFuture()

    def wake(self) -> None:
        if not self._wake_event.ready():
            self._wake_event.send()

    def wait_for_wake(self, timeout: clock.Ms) -> None:
        self._wake_event.wait(timeout=timeout / clock.SECOND)
        if self._wake_event.ready():
            self._wake_event = event.Event()

    def sleep(self, duration: clock.Ms) -> None:
        eventlet.sleep(duration / clock.SECOND)

    def spawn(self, function: Callable[[], None]) -> None:
        eventlet.spawn(function)
