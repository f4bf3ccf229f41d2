"""The tasks that tell other daemons of this one's requests."""

from collections.abc import Callable
from collections.abc import Iterable

import eventlet

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import distributor as distributors
from citronvalve.peers import messages
from citronvalve.policy import upstreamchoice

#: How often a daemon tells its own requests.  A replica gets one every
#: 100 ms or so near what it bears, so older news show one or two too few.
_LOADS: clock.Ms = 150

#: The same while replicas are nearly full, where one request too many makes
#: all that wait there late.
_LOADS_PRESSED: clock.Ms = 50

#: The same for each daemon of the data centre, so that a keeper gets and
#: sends 200 messages a second at most, whatever the number.
_LOADS_EACH: clock.Ms = 5

#: The same is told again after this time, before it counts no more.
_LOADS_SAME: clock.Ms = 450


class LoadNews:
    """Tells own requests, and as a keeper the sums of others'.

    :param env: the daemon's environment.
    :param book: the loads.
    :param spreading: decides who is told.
    :param send: sends messages.
    :ivar is_pressed: tells whether replicas are nearly full.
    """

    def __init__(
        self,
        env: environments.Environment,
        book: upstreamchoice.LoadTable,
        spreading: distributors.Distributor,
        send: Callable[[Iterable[distributors.Outgoing]], None],
    ) -> None:
        self._env = env
        self._book = book
        self._spreading = spreading
        self._send = send
        self.is_pressed: Callable[[], bool] = lambda: False

    def start(self) -> None:
        """Begin to tell."""
        eventlet.spawn(self._tell_own)
        eventlet.spawn(self._tell_sums)

    def _tell_own(self) -> None:
        told_at = -_LOADS_SAME
        last: messages.RequestCounts = {}
        while True:
            eventlet.sleep(self._pause() / clock.SECOND)
            now = self._env.clock.now()
            own = {
                upstream: (held.own, held.late)
                for upstream, held in self._book.load_by_upstream.items()
                if held.own
            }
            if own != last or now - told_at >= _LOADS_SAME:
                last, told_at = own, now
                self._send(self._spreading.report_loads(own, now))

    def _tell_sums(self) -> None:
        while True:
            eventlet.sleep(self._pause() / clock.SECOND)
            self._send(self._spreading.load_sums(self._env.clock.now()))

    def _pause(self) -> clock.Ms:
        pause = _LOADS_PRESSED if self.is_pressed() else _LOADS
        near = self._spreading.topology
        if near.is_direct:
            return pause
        return max(pause, _LOADS_EACH * near.datacentre_size)
