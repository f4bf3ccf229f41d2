"""One request and its response on one connection to an upstream."""

from collections.abc import Callable
import functools

import h11

from citronvalve.forward import attemptresult
from citronvalve.forward import bodybuffer
from citronvalve.forward import connector as connectors
from citronvalve.forward import dependencies
from citronvalve.forward import exchangeerror
from citronvalve.forward import headers
from citronvalve.forward import notrun
from citronvalve.forward import reply as replies
from citronvalve.forward import responsehead
from citronvalve.forward import responsereader
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.forward import streamrelay
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice
from citronvalve.routes import kind as kinds

#: Late responses to earlier requests that may come before the own one.
_MAX_OTHERS = 8

#: An upstream that answers 421 has changed since its entry in the list was
#: written; the list is updated within about this time.
_LIST_LAG: clock.Ms = 400

#: A full upstream has a free slot after about this time.
_FULL_AVOID_TIME: clock.Ms = 120

#: Longest wait for the rest of what has arrived in part.
_READ_ON_TIME: clock.Ms = 1

_Ending = attemptresult.Ending
_Failure = exchangeerror.ExchangeFailure


class Exchange:
    """Reads a response and relays it; a silence does not end the reading.

    What has been read is kept: after a read that gave up, the next one goes
    on where that stopped.

    :param deps: the daemon's components.
    :param routed: the request.
    :param reply: receives the response.
    :param chosen: the upstream and its forecast.
    :param progress: the part of a stream that the caller already has.
    :param target: the upstream's address.
    :param connection: connected to the upstream.
    :ivar connection: the same.
    :ivar response: the response's head, once it has arrived.
    :ivar result: how it ended, once the response is complete.
    :ivar on_heard: called when data of the response has arrived.
    :ivar on_head: called with the response's head.
    :ivar on_progress: called once, when events are next relayed.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        routed: routedrequest.RoutedRequest,
        reply: replies.Reply,
        chosen: upstreamchoice.Chosen,
        progress: streamprogress.StreamProgress,
        target: connectors.Target,
        connection: upstreamconnection.UpstreamConnection,
    ) -> None:
        self._deps = deps
        self._env = deps.env
        self._routed = routed
        self._reply = reply
        self._chosen = chosen
        self._progress = progress
        self._target = target
        self.connection = connection
        self._body = self._new_body(0)
        self._others = 0
        self._on_body: Callable[[bytes], None] = self._read_next_response
        self._on_part: Callable[[h11.Event], None] = self._take_head
        self._stream: streamrelay.StreamRelay | None = None
        self.response: responsehead.ResponseHead | None = None
        self.result: attemptresult.AttemptResult | None = None
        self.on_heard: Callable[[], None] = lambda: None
        self.on_head: Callable[[responsehead.ResponseHead], None] = lambda _: (
            None
        )
        self.on_progress: Callable[[], None] | None = None

    def send(self, head: list[headers.Header]) -> None:
        """Send the request, unless its deadline has passed.

        :param head: without framing.
        :raises exchangeerror.ExchangeError: when the connection is closed.
        """
        if self._env.clock.now() >= self._routed.deadline:
            self.result = attemptresult.not_run(
                notrun.Proof.EXPIRED, "the deadline passed before it was sent"
            )
            return
        request = self._routed.request
        self.connection.send(
            request.method, request.target, head, request.body
        )

    def read(
        self, reader: responsereader.ResponseReader
    ) -> attemptresult.AttemptResult:
        """Read until the response is complete.

        :param reader: waits for each part.
        :raises exchangeerror.ExchangeError: when the upstream is given up or
            its response is not usable.
        """
        while self._stream is None and self.result is None:
            self._on_part(reader.next_part(self.connection))
        if self._stream is not None:
            self._stream.on_relayed = self.on_progress
        while self.result is None:
            self._on_part(reader.next_stream_part(self.connection))
        return self.result

    def read_arrived(self) -> attemptresult.AttemptResult | None:
        """Read what has arrived, up to the next event or the end.

        :returns: how it ended, None if the response is not complete.
        :raises exchangeerror.ExchangeError: when the response is not usable.
        """
        if self._stream is not None:
            self._stream.on_relayed = None
        count = self._progress.event_count
        end = self._env.clock.now() + _READ_ON_TIME
        while self.result is None and count == self._progress.event_count:
            try:
                part = self.connection.next_event(end)
            except exchangeerror.ExchangeError as error:
                if error.failure is _Failure.SILENT:
                    break
                raise
            self._on_part(part)
        return self.result

    def release(self) -> None:
        """Give back the space that its body takes."""
        self._body.release()

    def _take_head(self, part: h11.Event) -> None:
        if not isinstance(part, h11.Response):
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "expected a response head"
            )
        names = self._env.header_names
        response = responsehead.ResponseHead(
            part.status_code, list(part.headers)
        )
        if response.is_for(self._routed.id.encode("latin-1"), names):
            self._take_response(response)
        elif headers.value(response.headers, names.request_id):
            # A late duplicate response to an earlier request; the one to
            # this request follows.
            self._others += 1
            self._log_left_out(response)
            if self._others > _MAX_OTHERS:
                raise exchangeerror.ExchangeError(
                    _Failure.GARBLED, "responses to other requests only"
                )
            self._read_unused_body(self._read_next_response)
        else:
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "response has no request id"
            )

    def _log_left_out(self, response: responsehead.ResponseHead) -> None:
        other = headers.value(
            response.headers, self._env.header_names.request_id
        )
        self._env.log.note(
            "answer left out",
            self._routed.id,
            upstream=self._chosen.upstream,
            connection=self.connection.number,
            answers=other.decode("latin-1"),
            status=response.status,
        )

    def _take_response(self, response: responsehead.ResponseHead) -> None:
        self.response = response
        self.on_head(response)
        names = self._env.header_names
        if not response.may_have_run(names):
            self._read_unused_body(
                functools.partial(self._end_rejected, response)
            )
        elif not response.is_success():
            self._read_body(
                functools.partial(self._end_failed, response),
                bodybuffer.MAX_FAILURE,
            )
        elif not response.is_authentic(names):
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "response has no seal or is encoded"
            )
        elif self._routed.route.kind is kinds.RequestKind.STREAM:
            stream = streamrelay.StreamRelay(
                self._env,
                self._routed,
                self._reply,
                self._chosen,
                self._progress,
                response,
            )
            self._stream = stream
            self._on_part = functools.partial(
                self._take_stream_part, stream, response
            )
        else:
            self._read_body(
                functools.partial(self._deliver, response),
                bodybuffer.MAX_ANSWER,
            )

    def _read_body(
        self, on_body: Callable[[bytes], None], most: int, is_kept: bool = True
    ) -> None:
        self._body.release()
        self._body = self._new_body(most, is_kept)
        self._on_body = on_body
        self._on_part = self._take_body_part

    def _read_unused_body(self, on_body: Callable[[bytes], None]) -> None:
        self._read_body(on_body, bodybuffer.MAX_UNUSED, is_kept=False)

    def _new_body(
        self, most: int, is_kept: bool = True
    ) -> bodybuffer.BodyBuffer:
        return bodybuffer.BodyBuffer(self._env.body_space, most, is_kept)

    def _take_body_part(self, part: h11.Event) -> None:
        if isinstance(part, h11.Data):
            self._body.add(part.data)
        elif isinstance(part, h11.EndOfMessage):
            self._check_end()
            self._on_body(self._body.content())
        else:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "response ended early"
            )

    def _take_stream_part(
        self,
        stream: streamrelay.StreamRelay,
        response: responsehead.ResponseHead,
        part: h11.Event,
    ) -> None:
        if isinstance(part, h11.EndOfMessage):
            self._check_end()
            stream.finish()
            self._end(_Ending.DELIVERED, "", response)
            return
        self.on_heard()
        stream.feed(part)

    def _read_next_response(self, _body: bytes) -> None:
        self.connection.expect_next_response()
        self._on_part = self._take_head

    def _end_rejected(
        self, response: responsehead.ResponseHead, _body: bytes
    ) -> None:
        upstream, detector = self._chosen.upstream, self._deps.stall_detector
        status = response.status
        fault = headers.value(
            response.headers, self._env.header_names.at_fault
        )
        detector.avoid(
            upstream, _LIST_LAG if status == 421 else _FULL_AVOID_TIME
        )
        if fault and fault != upstream.encode():
            detector.on_stall(upstream)
        # The response is not to be relayed.
        self.result = attemptresult.not_run(
            notrun.Proof.REJECTED, f"{status} {fault.decode('latin-1')}"
        )

    def _end_failed(
        self, response: responsehead.ResponseHead, body: bytes
    ) -> None:
        self._end(_Ending.FAILED, str(response.status), response, body)

    def _deliver(
        self, response: responsehead.ResponseHead, body: bytes
    ) -> None:
        self._reply.send_whole(
            response.status, headers.end_to_end(response.headers), body
        )
        elapsed = self._env.clock.now() - self._routed.request.arrived_at
        self._env.metrics.observe_first_event(elapsed, 0.0)
        self._end(_Ending.DELIVERED, "", response)

    def _end(
        self,
        ending: _Ending,
        why: str,
        response: responsehead.ResponseHead | None = None,
        body: bytes = b"",
    ) -> None:
        self.result = attemptresult.AttemptResult(ending, why, response, body)

    def _check_end(self) -> None:
        """Check that an unframed response did not end by a crash.

        A response without a length ends when its connection closes, which
        a crash in the middle does too: the caller would take the part for
        a complete response.  A crashed upstream does not accept connections,
        but one that crashed while this daemon stood still may be back.

        :raises exchangeerror.ExchangeError: when nothing accepts
            connections at the upstream's address, or that proves nothing.
        """
        if self.response is None or self.response.is_framed():
            return
        if self._env.pauses.is_recent():
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "response ended while this daemon stood still"
            )
        try:
            self._deps.pool.check_listening(self._target)
        except exchangeerror.ExchangeError as error:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN,
                f"response ended as its upstream went down: {error}",
            ) from error
