"""Relays the events of one upstream's stream to the caller."""

from collections.abc import Callable

import h11

from citronvalve.forward import environment as environments
from citronvalve.forward import eventsplitter
from citronvalve.forward import exchangeerror
from citronvalve.forward import headers
from citronvalve.forward import reply as replies
from citronvalve.forward import responsehead
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.policy import upstreamchoice

_Failure = exchangeerror.ExchangeFailure


class StreamRelay:
    """Passes on the events that the caller does not have yet.

    :param env: the daemon's environment.
    :param routed: the request.
    :param reply: receives the response.
    :param chosen: the upstream and its forecast.
    :param progress: the part of the stream that the caller already has.
    :param response: the head of the upstream's response.
    :ivar on_relayed: called once, when events are next relayed.
    """

    def __init__(
        self,
        env: environments.Environment,
        routed: routedrequest.RoutedRequest,
        reply: replies.Reply,
        chosen: upstreamchoice.Chosen,
        progress: streamprogress.StreamProgress,
        response: responsehead.ResponseHead,
    ) -> None:
        self._env = env
        self._routed = routed
        self._reply = reply
        self._chosen = chosen
        self._progress = progress
        self._response = response
        self._splitter = eventsplitter.EventSplitter()
        self.on_relayed: Callable[[], None] | None = None

    def feed(self, part: h11.Event) -> None:
        """Relay the events that a part of the body completes.

        :param part: of the response.
        :raises exchangeerror.ExchangeError: when it is no data, or an event
            is missing.
        """
        if not isinstance(part, h11.Data):
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "response ended early"
            )
        events = self._splitter.feed(bytes(part.data))
        last = self._progress.last_event_id
        data = b""
        for event in events:
            if _is_next(event, last):
                data += event.raw
                last = last if event.id is None else event.id
        if data:
            self._send_events(data, last)

    def finish(self) -> None:
        """End the caller's stream as complete.

        :raises exchangeerror.ExchangeError: when it ends within an event.
        """
        if self._splitter.remainder.strip():
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "stream ended within an event"
            )
        if not self._reply.started:
            self._start()
        self._reply.finish()
        self._env.metrics.observe_gap(self._progress.longest_gap)

    def _start(self) -> None:
        response = self._response
        self._reply.start(
            response.status, headers.end_to_end(response.headers)
        )

    def _send_events(self, data: bytes, last: int | None) -> None:
        if self.on_relayed is not None:
            self.on_relayed()
            self.on_relayed = None
        now = self._env.clock.now()
        progress = self._progress
        if not self._reply.started:
            self._start()
            elapsed = now - self._routed.request.arrived_at
            self._env.metrics.observe_first_event(
                elapsed, self._chosen.forecast.first
            )
        else:
            progress.longest_gap = max(
                progress.longest_gap, now - progress.last_event_at
            )
        progress.last_event_id = last
        progress.last_event_at = now
        progress.event_count += 1
        self._reply.send(data)


def _is_next(event: eventsplitter.Event, last: int | None) -> bool:
    """Return whether the caller does not have an event yet.

    :param event: of a stream.
    :param last: id of the event before it, or None.
    :raises exchangeerror.ExchangeError: when an event is missing between.
    """
    if event.id is None or last is None:
        return True
    if event.id > last + 1:
        raise exchangeerror.ExchangeError(
            _Failure.GARBLED, "stream skipped an event id"
        )
    # A resumed stream may repeat events that the caller has.
    return event.id > last
