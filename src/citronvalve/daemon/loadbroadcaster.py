"""Tasks that send the load of upstreams to other daemons."""

from collections.abc import Callable
from collections.abc import Iterable

import eventlet

from citronvalve.daemon import supervision
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import distributor as distributors
from citronvalve.peers import messages
from citronvalve.policy import loaddetails
from citronvalve.policy import roomshare
from citronvalve.policy import upstreamchoice

#: Interval between reports of this daemon's requests.  A replica near its
#: capacity gets a request about every 100 ms, so that an older report misses
#: one or two.
_REPORT_INTERVAL: clock.Ms = 150

#: Interval while replicas are nearly full: one request too many then delays
#: all that wait there.
_BUSY_REPORT_INTERVAL: clock.Ms = 50

#: Least interval for each daemon of the data centre, so that a coordinator
#: receives and sends at most 200 messages a second, however many there are.
_REPORT_INTERVAL_PER_DAEMON: clock.Ms = 5

#: Unchanged counts are sent again after this time, before they expire.
_REPEAT_INTERVAL: clock.Ms = 450


class LoadBroadcaster:
    """Sends this daemon's requests and, as coordinator, the sums of others.

    :param env: the daemon's environment.
    :param loads: the load of each upstream.
    :param distributor: chooses the recipients.
    :param send: sends messages.
    :ivar is_nearly_full: returns whether replicas are nearly full.
    :ivar details: returns the details of this daemon's requests.
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
        self.details: Callable[[], loaddetails.LoadDetails] = lambda: (
            loaddetails.NONE
        )

    def start(self) -> None:
        """Start the tasks."""
        supervision.spawn(self._env, "own loads", self._send_own)
        supervision.spawn(self._env, "load sums", self._send_sums)

    def report_age(self) -> clock.Ms:
        """Return the age that a report has when the next one comes.

        A coordinator sends its sums as often as it receives reports.
        """
        steps = 1 if self._distributor.topology.is_direct else 2
        return steps * self._interval()

    def turn(self) -> roomshare.Turn | None:
        """Return the daemon's place in its data centre.

        :returns: None while daemons report to each other directly, so that
            reports are fresh.
        """
        topology = self._distributor.topology
        return None if topology.is_direct else topology.turn

    def _send_own(self) -> None:
        sent_at = -_REPEAT_INTERVAL
        last: messages.RequestCounts = {}
        last_details = loaddetails.NONE
        while True:
            eventlet.sleep(self._interval() / clock.SECOND)
            now = self._env.clock.now()
            own = {
                upstream: (held.own, held.late)
                for upstream, held in self._loads.load_by_upstream.items()
                if held.own
            }
            details = self.details()
            changed = own != last or details != last_details
            if changed or now - sent_at >= _REPEAT_INTERVAL:
                last, last_details, sent_at = own, details, now
                self._send(self._distributor.report_loads(own, now, details))

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
