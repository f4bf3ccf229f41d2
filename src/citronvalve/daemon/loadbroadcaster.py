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
_REPORT_INTERVAL: clock.Ms = 150

#: The same while replicas are nearly full, where one request too many makes
#: all that wait there late.
_BUSY_REPORT_INTERVAL: clock.Ms = 50

#: The same for each daemon of the data centre, so that a keeper gets and
#: sends 200 messages a second at most, whatever the number.
_REPORT_INTERVAL_PER_DAEMON: clock.Ms = 5

#: The same is told again after this time, before it counts no more.
_REPEAT_INTERVAL: clock.Ms = 450


class LoadBroadcaster:
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
        loads: upstreamchoice.LoadTable,
        distributor: distributors.Distributor,
        send: Callable[[Iterable[distributors.Outgoing]], None],
    ) -> None:
        self._env = env
        self._loads = loads
        self._distributor = distributor
        self._send = send
        self.is_nearly_full: Callable[[], bool] = lambda: False

    def start(self) -> None:
        """Begin to tell."""
        eventlet.spawn(self._send_own)
        eventlet.spawn(self._send_sums)

    def _send_own(self) -> None:
        sent_at = -_REPEAT_INTERVAL
        last: messages.RequestCounts = {}
        while True:
            eventlet.sleep(self._interval() / clock.SECOND)
            now = self._env.clock.now()
            own = {
                upstream: (held.own, held.late)
                for upstream, held in self._loads.load_by_upstream.items()
                if held.own
            }
            if own != last or now - sent_at >= _REPEAT_INTERVAL:
                last, sent_at = own, now
                self._send(self._distributor.report_loads(own, now))

    def _send_sums(self) -> None:
        while True:
            eventlet.sleep(self._interval() / clock.SECOND)
            self._send(self._distributor.load_sums(self._env.clock.now()))

    def _interval(self) -> clock.Ms:
        interval = (
            _BUSY_REPORT_INTERVAL
            if self.is_nearly_full()
            else _REPORT_INTERVAL
        )
        topology = self._distributor.topology
        if topology.is_direct:
            return interval
        return max(
            interval, _REPORT_INTERVAL_PER_DAEMON * topology.datacentre_size
        )
