"""Reads the list of upstreams again after the process stood still."""

from collections.abc import Callable

import eventlet

from citronvalve.forward import environment as environments
from citronvalve.model import clock

_POLL_INTERVAL: clock.Ms = 5

#: Longest wait after a pause; then the list that is held is used.
_MAX_WAIT: clock.Ms = 1_000


class ListCheck:
    """Lets requests wait after a pause until the list has been read again.

    While a daemon stands still, replicas are closed and their runners open
    others.  By the list from before the pause a request would be sent to the
    replica of another model, which runs it.

    :param env: the daemon's environment.
    :ivar read: reads the list and applies it.  Requests go on if it fails:
        in an outage the list that is held is the best one.
    """

    def __init__(self, env: environments.Environment) -> None:
        self._env = env
        self._checked_at: clock.Ms = 0
        self._is_reading = False
        self.read: Callable[[], object] = lambda: None

    def wait(self, deadline: clock.Ms) -> None:
        """Return when the list has been read since the last pause.

        :param deadline: monotonic ms at which the wait ends in any case.
        """
        while (resumed_at := self._env.pauses.resumed_at()) > self._checked_at:
            until = min(deadline, resumed_at + _MAX_WAIT)
            if self._env.clock.now() >= until:
                return
            if not self._is_reading:
                self._is_reading = True
                eventlet.spawn(self._read, resumed_at)
            eventlet.sleep(_POLL_INTERVAL / clock.SECOND)

    def _read(self, resumed_at: clock.Ms) -> None:
        try:
            self.read()
        finally:
            self._checked_at = resumed_at
            self._is_reading = False
