"""How long an upstream is waited for."""

from collections.abc import Callable

import h11

from citronvalve.forward import dependencies
from citronvalve.forward import exchangeerror
from citronvalve.forward import routedrequest
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice

#: An upstream answers at the deadline itself; its answer takes so long.
_DEADLINE_GRACE: clock.Ms = 150

#: A stream from which nothing came for this many expected spans, and at
#: least this many ms, may stand still: passes that read long prompts take up
#: to four usual ones, and callers leave after two seconds.
_STALL_FACTOR = 5.0
_MIN_FIRST_EVENT_TIMEOUT: clock.Ms = 450
_MIN_GAP_TIMEOUT: clock.Ms = 350

#: While the replica is heard on other connections, this one alone may have
#: been lost track of; it gets this many times the patience.
_SINGLE_CONNECTION_FACTOR = 3

#: Between two looks whether others have found the replica standing still:
#: whoever waits for it then goes elsewhere at once.
_POLL_INTERVAL: clock.Ms = 100

#: A look that takes longer than this was held up by a pause of this daemon.
#: Only so much of it counts as the upstream's silence: what came meanwhile
#: lies unread in the socket, since timers that fell due are served first.
_MAX_POLL_TIME: clock.Ms = 2 * _POLL_INTERVAL

#: A plain upstream that has said nothing for this many objectives hangs;
#: what may be repeated is then sent to another.
_PLAIN_STALL_FACTOR = 2.5

_Failure = exchangeerror.ExchangeFailure


class ResponseReader:
    """Waits for the parts of an answer, as long as it makes sense.

    :param means: tells of replicas that stand still.
    :param demand: the request.
    :param placed: the upstream, and what is expected.
    :param elsewhere: tells whether the request could go on at another
        upstream now; without one, whatever comes is better than nothing,
        and is waited for as long as there is time.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        routed: routedrequest.RoutedRequest,
        chosen: upstreamchoice.Chosen,
        can_switch: Callable[[], bool],
    ) -> None:
        self._clock = deps.env.clock
        self._stall_detector = deps.stall_detector
        self._routed = routed
        self._chosen = chosen
        self._can_switch = can_switch

    def next_part(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> h11.Event:
        """Wait for a part of the answer's beginning, or of a whole answer.

        :param link: the connection.
        :raises linkerror.LinkError: when it is given up.
        """
        if self._routed.service.engine is not None:
            expected = _STALL_FACTOR * self._chosen.forecast.first / 2
            return self._wait(
                connection, max(_MIN_FIRST_EVENT_TIMEOUT, round(expected))
            )
        objective = self._routed.route.latency_objective
        return self._wait(connection, round(_PLAIN_STALL_FACTOR * objective))

    def next_stream_part(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> h11.Event:
        """Wait for the next part of a stream.

        :param link: the connection.
        :raises linkerror.LinkError: when it is given up.
        """
        expected = _STALL_FACTOR * self._chosen.forecast.gap
        return self._wait(connection, max(_MIN_GAP_TIMEOUT, round(expected)))

    def _wait(
        self,
        connection: upstreamconnection.UpstreamConnection,
        timeout: clock.Ms,
    ) -> h11.Event:
        end = self._routed.deadline + _DEADLINE_GRACE
        waited: clock.Ms = 0
        while True:
            started_at = self._clock.now()
            poll_end = min(end, started_at + _POLL_INTERVAL)
            try:
                return connection.next_event(poll_end)
            except exchangeerror.ExchangeError as error:
                if error.failure is not _Failure.SILENT or poll_end >= end:
                    raise
                waited += self._count_silence(self._clock.now() - started_at)
                # Asked anew at each look: a replica may open meanwhile.
                if self._is_given_up(waited, timeout) and self._can_switch():
                    raise

    def _count_silence(self, elapsed: clock.Ms) -> clock.Ms:
        """Return how much of a look was the upstream's silence."""
        if elapsed > _MAX_POLL_TIME:
            self._stall_detector.record_pause(elapsed)
        return min(elapsed, _MAX_POLL_TIME)

    def _is_given_up(self, waited: clock.Ms, timeout: clock.Ms) -> bool:
        if self._routed.service.engine is None:
            return waited >= timeout
        upstream = self._chosen.upstream
        if self._stall_detector.is_stalled(upstream):
            return True
        if waited < timeout:
            return False
        if self._stall_detector.record_silence(upstream):
            return True
        return waited >= _SINGLE_CONNECTION_FACTOR * timeout
