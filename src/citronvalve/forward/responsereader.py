"""Reads of an upstream's response, with timeouts from its forecast."""

from collections.abc import Callable

import h11

from citronvalve.forward import dependencies
from citronvalve.forward import exchangeerror
from citronvalve.forward import routedrequest
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock
from citronvalve.policy import sending
from citronvalve.policy import upstreamchoice

#: An upstream may answer at the deadline itself; its response still has to
#: arrive.
_DEADLINE_GRACE: clock.Ms = 150

#: A stream that is silent for this multiple of the expected gap, or half this
#: multiple of the expected time to its first event, may be stalled; the
#: minimums below apply.  Passes that prefill long prompts take up to four
#: times as long as usual ones, and callers disconnect after two seconds.
_STALL_FACTOR = 5.0
_MIN_FIRST_EVENT_TIMEOUT: clock.Ms = 450
_MIN_GAP_TIMEOUT: clock.Ms = 350

#: While other connections to the replica are active, only this one may be
#: lost; its timeout is multiplied by this.
_SINGLE_CONNECTION_FACTOR = 3

#: Time between checks whether the replica has been found stalled elsewhere;
#: all requests that wait for it then switch at once.
_POLL_INTERVAL: clock.Ms = 100

#: The same while earlier upstreams of the request are read in turn with this
#: one.
_SHARED_POLL_INTERVAL: clock.Ms = 20

#: A poll that takes longer was delayed by a pause of this daemon.  Only this
#: much of it counts as silence of the upstream: data that arrived in the
#: pause is still unread, since due timers are served before sockets.
_MAX_POLL_TIME: clock.Ms = 2 * _POLL_INTERVAL

#: A plain upstream that is silent for this multiple of the latency objective
#: is taken to hang; a retryable request is then sent to another.
_PLAIN_STALL_FACTOR = 2.5

#: A plain upstream that is silent for this long may be behind a lost link.
_PLAIN_DOUBT_TIME: clock.Ms = 450

#: An upstream that has not read a request in time gets no new ones for this
#: time.
_SLOW_AVOID_TIME: clock.Ms = 2_500

_Failure = exchangeerror.ExchangeFailure


class ResponseReader:
    """Reads the parts of a response and gives up on a stalled upstream.

    :param deps: the daemon's components.
    :param routed: the request.
    :param chosen: the upstream and its forecast.
    :param can_switch: returns whether the request could continue at another
        upstream; if not, the response is awaited until the deadline.
    :ivar has_other_answered: reads the earlier upstreams of the request that
        are silent; returns whether one of them had something for the caller.
        None if there are none.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        routed: routedrequest.RoutedRequest,
        chosen: upstreamchoice.Chosen,
        can_switch: Callable[[], bool],
    ) -> None:
        self._env = deps.env
        self._clock = deps.env.clock
        self._stall_detector = deps.stall_detector
        self._routed = routed
        self._chosen = chosen
        self._can_switch = can_switch
        self.has_other_answered: Callable[[], bool] | None = None

    def check_others(self) -> None:
        """Read the earlier upstreams of the request that are silent.

        :raises exchangeerror.ExchangeError: when one of them had something
            for the caller.
        """
        if self.has_other_answered is not None and self.has_other_answered():
            raise exchangeerror.ExchangeError(
                _Failure.OVERTAKEN, "an earlier upstream went on"
            )

    def next_part(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> h11.Event:
        """Read the next part of a response's head or of a buffered body.

        :param connection: the connection.
        :raises exchangeerror.ExchangeError: when the upstream is given up.
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
        """Read the next part of a stream.

        :param connection: the connection.
        :raises exchangeerror.ExchangeError: when the upstream is given up.
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
        interval = (
            _POLL_INTERVAL
            if self.has_other_answered is None
            else _SHARED_POLL_INTERVAL
        )
        while True:
            started_at = self._clock.now()
            poll_end = min(end, started_at + interval)
            try:
                return connection.next_event(poll_end)
            except exchangeerror.ExchangeError as error:
                if error.failure is not _Failure.SILENT or poll_end >= end:
                    raise
                waited += self._count_silence(self._clock.now() - started_at)
                self.check_others()
                self._check_sent(connection)
                # Checked at each poll: a replica may open in between.
                # Checked for each request: also one that can't switch shows
                # that a link is lost.
                is_lost = not connection.relay and self._is_link_lost(waited)
                is_given_up = is_lost or self._is_given_up(waited, timeout)
                if is_given_up and self._can_switch():
                    raise

    def _check_sent(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> None:
        """Give up an upstream that does not read its request in time.

        One that may run a request that no other upstream may have is waited
        for until the deadline.

        :raises exchangeerror.ExchangeError: when it is given up.
        """
        if self._env.unsent is None or not connection.is_unread:
            return
        began_at = connection.sending_since
        allowed = sending.time_allowed(
            len(self._routed.request.body),
            self._routed.route.latency_objective,
            self._routed.deadline - began_at,
            self._env.link,
        )
        elapsed = self._clock.now() - began_at
        if elapsed < allowed:
            return
        self._stall_detector.avoid(self._chosen.upstream, _SLOW_AVOID_TIME)
        why = f"the request was not read in {elapsed} ms"
        if not connection.may_run:
            raise exchangeerror.ExchangeError(_Failure.UNSENT, why)
        if self._can_switch():
            raise exchangeerror.ExchangeError(_Failure.SLOW, why)

    def _count_silence(self, elapsed: clock.Ms) -> clock.Ms:
        """Return how much of a poll counts as silence of the upstream."""
        if elapsed > _MAX_POLL_TIME:
            self._stall_detector.record_pause(elapsed)
        return min(elapsed, _MAX_POLL_TIME)

    def _is_link_lost(self, waited: clock.Ms) -> bool:
        """Return whether a plain upstream is silent by a lost link."""
        is_plain = self._routed.service.engine is None
        return (
            is_plain
            and waited >= _PLAIN_DOUBT_TIME
            and self._stall_detector.is_link_lost(self._chosen.upstream)
        )

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
