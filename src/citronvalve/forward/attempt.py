"""One attempt to run a request at one upstream."""

from collections.abc import Callable

import h11

from citronvalve.forward import attemptresult
from citronvalve.forward import connector as connectors
from citronvalve.forward import dependencies
from citronvalve.forward import eventsplitter
from citronvalve.forward import exchangeerror
from citronvalve.forward import headers
from citronvalve.forward import placement
from citronvalve.forward import reply as replies
from citronvalve.forward import responsehead
from citronvalve.forward import responsereader
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice
from citronvalve.routes import kind as kinds

#: Largest response body, in bytes, that is buffered until it is complete.
_MAX_BODY = 8 * 1024 * 1024

#: An upstream that answers 421 has changed since its entry in the list was
#: written; the list is updated within about this time.
_LIST_LAG: clock.Ms = 400

#: A full upstream has a free slot after about this time.
_FULL_AVOID_TIME: clock.Ms = 120

_Ending = attemptresult.Ending
_Failure = exchangeerror.ExchangeFailure


class Attempt:
    """Sends a request to an upstream and relays its response.

    :param deps: the daemon's components.
    :param routed: the request.
    :param reply: receives the response.
    :param chosen: the upstream and its forecast.
    :param progress: the part of a stream that the caller already has.
    :param can_switch: returns whether the request could continue at another
        upstream.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        routed: routedrequest.RoutedRequest,
        reply: replies.Reply,
        chosen: upstreamchoice.Chosen,
        progress: streamprogress.StreamProgress,
        can_switch: Callable[[], bool],
    ) -> None:
        self._deps = deps
        self._env = deps.env
        self._routed = routed
        self._reply = reply
        self._chosen = chosen
        self._progress = progress
        self._reader = responsereader.ResponseReader(
            deps, routed, chosen, can_switch
        )
        self._load = deps.loads.of(chosen.upstream)
        self._is_start_counted = False
        self._target = connectors.Target(chosen.upstream, "", "")
        self.relay = ""
        self._response: responsehead.ResponseHead | None = None

    def run(self) -> attemptresult.AttemptResult:
        """Run the attempt."""
        runner = self._deps.directory.runner_by_id.get(self._chosen.upstream)
        if runner is None:
            return attemptresult.AttemptResult(
                _Ending.NOT_RUN, "the upstream is no longer in the list"
            )
        self._target = connectors.target_of(runner)
        retryable = self._routed.route.may_repeat
        try:
            connection = self._deps.pool.acquire(
                self._target, self._routed.id, retryable
            )
        except exchangeerror.ExchangeError as error:
            return self._handle_unreached(error)
        self.relay = connection.relay
        self._load.own += 1
        self._load.late += self._chosen.late
        reusable = False
        try:
            result = self._exchange(connection)
            reusable = result.ending in (_Ending.DELIVERED, _Ending.FAILED)
            reusable = reusable or result.ending is _Ending.NOT_RUN
            return result
        except exchangeerror.ExchangeError as error:
            return self._handle_failure(error)
        finally:
            self._load.own -= 1
            self._record_start()
            if reusable and self._response is not None:
                keep_alive = self._response.keep_alive_seconds()
                self._deps.pool.release(runner.address, connection, keep_alive)
            else:
                connection.close()

    def _handle_unreached(
        self, error: exchangeerror.ExchangeError
    ) -> attemptresult.AttemptResult:
        if error.failure is _Failure.NO_LINK:
            if not self._deps.connector.links.is_cut:
                # The leader has to learn of a data centre that is cut off.
                self._deps.stall_detector.record_silence(
                    self._chosen.upstream, checked=True
                )
            return attemptresult.AttemptResult(_Ending.UNLINKED, str(error))
        self._load.circuit.record_failure(self._env.clock.now(), fatal=True)
        self._deps.stall_detector.record_silence(
            self._chosen.upstream, checked=True
        )
        return attemptresult.AttemptResult(_Ending.NOT_RUN, str(error))

    def _exchange(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> attemptresult.AttemptResult:
        self._reply.check_caller()
        if self._env.clock.now() >= self._routed.deadline:
            return attemptresult.AttemptResult(
                _Ending.NOT_RUN, "the deadline passed before it was sent"
            )
        request = self._routed.request
        connection.send(
            request.method, request.target, self._request_head(), request.body
        )
        response = self._read_head(connection)
        self._response = response
        self._record_response(response)
        names = self._env.header_names
        if not response.may_have_run(names):
            return self._handle_rejection(connection, response)
        if not response.is_success():
            body = self._read_body(connection)
            self._load.circuit.record_failure(
                self._env.clock.now(), fatal=False
            )
            return attemptresult.AttemptResult(
                _Ending.FAILED, str(response.status), response, body
            )
        if not response.is_authentic(names):
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "response has no seal or is encoded"
            )
        if self._routed.route.kind is kinds.RequestKind.STREAM:
            self._relay_stream(connection, response)
        else:
            body = self._read_body(connection)
            self._reply.send_whole(
                response.status, headers.end_to_end(response.headers), body
            )
            elapsed = self._env.clock.now() - self._routed.request.arrived_at
            self._env.metrics.observe_first_event(elapsed, 0.0)
        self._load.circuit.record_success()
        return attemptresult.AttemptResult(_Ending.DELIVERED, "", response)

    def _request_head(self) -> list[headers.Header]:
        names = self._env.header_names
        routed = self._routed
        remaining = max(1, routed.deadline - self._env.clock.now())
        head = headers.end_to_end(routed.request.headers, names.system_only)
        head.append((names.deadline, b"%d" % remaining))
        head.append((names.expected_upstream, self._chosen.upstream.encode()))
        if routed.key_holder is not None:
            head.append((names.team, routed.key_holder.name.encode()))
        if routed.service.engine is not None:
            rank = min(placement.LATE_RANK - 1, max(0, routed.priority))
            if self._chosen.late:
                rank = placement.LATE_RANK
            head.append((names.rank, b"%d" % rank))
        after = self._resume_after()
        if after:
            head.append((names.resume_after, after))
        return head

    def _resume_after(self) -> bytes:
        if self._progress.last_event_id is not None:
            return b"%d" % self._progress.last_event_id
        return self._routed.request.header(self._env.header_names.resume_after)

    def _read_head(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> responsehead.ResponseHead:
        request_id = self._routed.id.encode("latin-1")
        while True:
            event = self._reader.next_part(connection)
            if not isinstance(event, h11.Response):
                raise exchangeerror.ExchangeError(
                    _Failure.GARBLED, "expected a response head"
                )
            response = responsehead.ResponseHead(
                event.status_code, list(event.headers)
            )
            if response.is_for(request_id, self._env.header_names):
                return response
            if not headers.value(
                response.headers, self._env.header_names.request_id
            ):
                raise exchangeerror.ExchangeError(
                    _Failure.GARBLED, "response has no request id"
                )
            # A late duplicate response to an earlier request; the one to
            # this request follows.
            self._read_body(connection)
            connection.expect_next_response()

    def _record_start(self) -> None:
        # Once it has started or ended, it is no longer queued as late.
        if self._chosen.late and not self._is_start_counted:
            self._is_start_counted = True
            self._load.late -= 1

    def _record_response(self, response: responsehead.ResponseHead) -> None:
        self._record_activity()
        self._record_start()
        load = response.load(self._env.header_names)
        if load is not None:
            now = self._env.clock.now()
            self._load.record_report(load.running, load.waiting, now)

    def _record_activity(self) -> None:
        self._deps.stall_detector.record_activity(self._chosen.upstream)
        self._deps.connector.record_activity(self.relay)

    def _handle_rejection(
        self,
        connection: upstreamconnection.UpstreamConnection,
        response: responsehead.ResponseHead,
    ) -> attemptresult.AttemptResult:
        self._read_body(connection)
        fault = headers.value(
            response.headers, self._env.header_names.at_fault
        )
        duration = _LIST_LAG if response.status == 421 else _FULL_AVOID_TIME
        self._deps.stall_detector.avoid(self._chosen.upstream, duration)
        if fault and fault != self._chosen.upstream.encode():
            self._deps.stall_detector.on_stall(self._chosen.upstream)
        why = f"{response.status} {fault.decode('latin-1')}"
        return attemptresult.AttemptResult(_Ending.NOT_RUN, why)

    def _read_body(
        self, connection: upstreamconnection.UpstreamConnection
    ) -> bytes:
        body = bytearray()
        while True:
            event = self._reader.next_part(connection)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > _MAX_BODY:
                    raise exchangeerror.ExchangeError(
                        _Failure.GARBLED, "response body is too large"
                    )
            elif isinstance(event, h11.EndOfMessage):
                self._check_end()
                return bytes(body)
            else:
                raise exchangeerror.ExchangeError(
                    _Failure.BROKEN, "response ended early"
                )

    def _check_end(self) -> None:
        """Check that an unframed response did not end by a crash.

        A response without a length ends when its connection closes, which
        a crash in the middle does too: the caller would take the part for
        a complete response.  A crashed upstream does not accept connections.

        :raises exchangeerror.ExchangeError: when nothing accepts
            connections at the upstream's address.
        """
        if self._response is None or self._response.is_framed():
            return
        try:
            self._deps.pool.check_listening(self._target)
        except exchangeerror.ExchangeError as error:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN,
                f"response ended as its upstream went down: {error}",
            ) from error

    def _relay_stream(
        self,
        connection: upstreamconnection.UpstreamConnection,
        response: responsehead.ResponseHead,
    ) -> None:
        splitter = eventsplitter.EventSplitter()
        while True:
            event = self._reader.next_stream_part(connection)
            if isinstance(event, h11.EndOfMessage):
                self._check_end()
                break
            if not isinstance(event, h11.Data):
                raise exchangeerror.ExchangeError(
                    _Failure.BROKEN, "response ended early"
                )
            self._record_activity()
            events = splitter.feed(bytes(event.data))
            data = b"".join(e.raw for e in events if self._is_next(e))
            if data:
                self._send_events(response, data)
        if splitter.remainder.strip():
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "stream ended within an event"
            )
        if not self._reply.started:
            self._reply.start(
                response.status, headers.end_to_end(response.headers)
            )
        self._reply.finish()
        self._env.metrics.observe_gap(self._progress.longest_gap)

    def _is_next(self, event: eventsplitter.Event) -> bool:
        last = self._progress.last_event_id
        if event.id is None or last is None:
            self._progress.last_event_id = (
                event.id if event.id is not None else last
            )
            return True
        if event.id <= last:
            # A resumed stream may repeat events that the caller has.
            return False
        if event.id != last + 1:
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "stream skipped an event id"
            )
        self._progress.last_event_id = event.id
        return True

    def _send_events(
        self, response: responsehead.ResponseHead, data: bytes
    ) -> None:
        now = self._env.clock.now()
        progress = self._progress
        if not self._reply.started:
            self._reply.start(
                response.status, headers.end_to_end(response.headers)
            )
            elapsed = now - self._routed.request.arrived_at
            self._env.metrics.observe_first_event(
                elapsed, self._chosen.forecast.first
            )
        else:
            progress.longest_gap = max(
                progress.longest_gap, now - progress.last_event_at
            )
        progress.last_event_at = now
        progress.event_count += 1
        self._reply.send(data)

    def _handle_failure(
        self, error: exchangeerror.ExchangeError
    ) -> attemptresult.AttemptResult:
        if error.failure is _Failure.NO_LINK:
            # The relay refused it before it passed anything on.
            return attemptresult.AttemptResult(_Ending.NOT_RUN, str(error))
        now = self._env.clock.now()
        if now < self._routed.deadline:
            self._load.circuit.record_failure(now, fatal=False)
        if error.failure is _Failure.SILENT:
            # All open connections may be silent while new ones work.
            self._deps.pool.close_idle(self._target.address)
            if self.relay:
                self._deps.connector.record_silence(self.relay)
            return attemptresult.AttemptResult(_Ending.STALLED, str(error))
        if error.failure is _Failure.BROKEN:
            self._deps.crash_detector.check_upstream(
                self._routed, self._target
            )
        return attemptresult.AttemptResult(_Ending.BROKEN, str(error))
