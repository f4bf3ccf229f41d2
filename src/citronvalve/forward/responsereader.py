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
_GRACE: clock.Ms = 150

#: A stream from which nothing came for this many expected spans, and at
#: least this many ms, may stand still: passes that read long prompts take up
#: to four usual ones, and callers leave after two seconds.
_SPANS = 5.0
_LEAST_FIRST: clock.Ms = 450
_LEAST_GAP: clock.Ms = 350

#: While the replica is heard on other connections, this one alone may have
#: been lost track of; it gets this many times the patience.
_ALONE = 3

#: Between two looks whether others have found the replica standing still:
#: whoever waits for it then goes elsewhere at once.
_LOOK: clock.Ms = 100

#: A look that takes longer than this was held up by a pause of this daemon.
#: Only so much of it counts as the upstream's silence: what came meanwhile
#: lies unread in the socket, since timers that fell due are served first.
_LONGEST_LOOK: clock.Ms = 2 * _LOOK

#: A plain upstream that has said nothing for this many objectives hangs;
#: what may be repeated is then sent to another.
_PLAIN_OBJECTIVES = 2.5

_Trouble = exchangeerror.ExchangeFailure


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
        means: dependencies.Dependencies,
        demand: routedrequest.RoutedRequest,
        placed: upstreamchoice.Chosen,
        elsewhere: Callable[[], bool],
    ) -> None:
        self._clock = means.env.clock
        self._stalls = means.stall_detector
        self._demand = demand
        self._placed = placed
        self._elsewhere = elsewhere

    def next_part(
        self, link: upstreamconnection.UpstreamConnection
    ) -> h11.Event:
        """Wait for a part of the answer's beginning, or of a whole answer.

        :param link: the connection.
        :raises linkerror.LinkError: when it is given up.
        """
        if self._demand.service.engine is not None:
            expected = _SPANS * self._placed.forecast.first / 2
            return self._wait(link, max(_LEAST_FIRST, round(expected)))
        objective = self._demand.route.latency_objective
        return self._wait(link, round(_PLAIN_OBJECTIVES * objective))

    def next_stream_part(
        self, link: upstreamconnection.UpstreamConnection
    ) -> h11.Event:
        """Wait for the next part of a stream.

        :param link: the connection.
        :raises linkerror.LinkError: when it is given up.
        """
        expected = _SPANS * self._placed.forecast.gap
        return self._wait(link, max(_LEAST_GAP, round(expected)))

    def _wait(
        self, link: upstreamconnection.UpstreamConnection, patience: clock.Ms
    ) -> h11.Event:
        end = self._demand.deadline + _GRACE
        waited: clock.Ms = 0
        while True:
            began = self._clock.now()
            turn = min(end, began + _LOOK)
            try:
                return link.next_event(turn)
            except exchangeerror.ExchangeError as error:
                if error.failure is not _Trouble.SILENT or turn >= end:
                    raise
                waited += self._looked(self._clock.now() - began)
                # Asked anew at each look: a replica may open meanwhile.
                if self._is_lost(waited, patience) and self._elsewhere():
                    raise

    def _looked(self, took: clock.Ms) -> clock.Ms:
        """Return how much of a look was the upstream's silence."""
        if took > _LONGEST_LOOK:
            self._stalls.record_pause(took)
        return min(took, _LONGEST_LOOK)

    def _is_lost(self, waited: clock.Ms, patience: clock.Ms) -> bool:
        if self._demand.service.engine is None:
            return waited >= patience
        upstream = self._placed.upstream
        if self._stalls.is_stalled(upstream):
            return True
        if waited < patience:
            return False
        if self._stalls.record_silence(upstream):
            return True
        return waited >= _ALONE * patience
