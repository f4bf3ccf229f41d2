"""One try of a request at one upstream."""

from collections.abc import Callable

import h11

from citronvalve.forward import attemptresult
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

#: Bodies of whole answers that are held until they are complete.
_MOST_HELD = 8 * 1024 * 1024

#: An upstream that answers that it is not the one, or not open, has changed
#: since the list told of it; the list follows within about this time.
_LIST_LAG: clock.Ms = 400

#: One that is full has a free place after about this time.
_FULL: clock.Ms = 120

_Ending = attemptresult.Ending
_Trouble = exchangeerror.ExchangeFailure


class Attempt:
    """Sends a request to an upstream and brings its answer back.

    :param means: what it works with.
    :param demand: the request.
    :param reply: takes the answer.
    :param placed: the upstream, and what is expected.
    :param relayed: what the caller has already.
    :param elsewhere: tells whether the request could go on at another
        upstream now.
    """

    def __init__(
        self,
        means: dependencies.Dependencies,
        demand: routedrequest.RoutedRequest,
        reply: replies.Reply,
        placed: upstreamchoice.Chosen,
        relayed: streamprogress.StreamProgress,
        elsewhere: Callable[[], bool],
    ) -> None:
        self._means = means
        self._env = means.env
        self._demand = demand
        self._reply = reply
        self._placed = placed
        self._relayed = relayed
        self._patience = responsereader.ResponseReader(
            means, demand, placed, elsewhere
        )
        self._load = means.loads.of(placed.upstream)
        self._counted_begun = False
        self._address = ""
        self._got: responsehead.ResponseHead | None = None

    def run(self) -> attemptresult.AttemptResult:
        """Make the try."""
        runner = self._means.directory.runner_by_id.get(self._placed.upstream)
        if runner is None:
            return attemptresult.AttemptResult(
                _Ending.NOT_RUN, "it left the list"
            )
        self._address = runner.address
        repeatable = self._demand.route.may_repeat
        try:
            link = self._means.pool.acquire(runner.address, repeatable)
        except exchangeerror.ExchangeError as error:
            self._load.circuit.record_failure(
                self._env.clock.now(), fatal=True
            )
            self._means.stall_detector.record_silence(self._placed.upstream)
            return attemptresult.AttemptResult(_Ending.NOT_RUN, str(error))
        self._load.own += 1
        self._load.late += self._placed.late
        whole = False
        try:
            ended = self._exchange(link)
            whole = ended.ending in (_Ending.DELIVERED, _Ending.FAILED)
            whole = whole or ended.ending is _Ending.NOT_RUN
            return ended
        except exchangeerror.ExchangeError as error:
            return self._failed(error, runner.address)
        finally:
            self._load.own -= 1
            self._begun()
            if whole and self._got is not None:
                kept = self._got.keep_alive_seconds()
                self._means.pool.release(runner.address, link, kept)
            else:
                link.close()

    def _exchange(
        self, link: upstreamconnection.UpstreamConnection
    ) -> attemptresult.AttemptResult:
        self._reply.check_caller()
        request = self._demand.request
        link.send(request.method, request.target, self._head(), request.body)
        got = self._first(link)
        self._got = got
        self._heard(got)
        dialect = self._env.header_names
        if not got.may_have_run(dialect):
            return self._turned_away(link, got)
        if not got.is_success():
            body = self._body(link)
            self._load.circuit.record_failure(
                self._env.clock.now(), fatal=False
            )
            return attemptresult.AttemptResult(
                _Ending.FAILED, str(got.status), got, body
            )
        if not got.is_authentic(dialect):
            raise exchangeerror.ExchangeError(_Trouble.GARBLED, "not sealed")
        if self._demand.route.kind is kinds.RequestKind.STREAM:
            self._relay(link, got)
        else:
            body = self._body(link)
            self._reply.send_whole(
                got.status, headers.end_to_end(got.headers), body
            )
            took = self._env.clock.now() - self._demand.request.arrived_at
            self._env.metrics.observe_first_event(took, 0.0)
        self._load.circuit.record_success()
        return attemptresult.AttemptResult(_Ending.DELIVERED, "", got)

    def _head(self) -> list[headers.Header]:
        dialect = self._env.header_names
        demand = self._demand
        left = max(1, demand.deadline - self._env.clock.now())
        made = headers.end_to_end(demand.request.headers, dialect.system_only)
        made.append((dialect.deadline, b"%d" % left))
        made.append(
            (dialect.expected_upstream, self._placed.upstream.encode())
        )
        if demand.key_holder is not None:
            made.append((dialect.team, demand.key_holder.name.encode()))
        if demand.service.engine is not None:
            rank = min(placement.LATE_RANK - 1, max(0, demand.priority))
            if self._placed.late:
                rank = placement.LATE_RANK
            made.append((dialect.rank, b"%d" % rank))
        after = self._resume_after()
        if after:
            made.append((dialect.resume_after, after))
        return made

    def _resume_after(self) -> bytes:
        if self._relayed.last_event_id is not None:
            return b"%d" % self._relayed.last_event_id
        return self._demand.request.header(self._env.header_names.resume_after)

    def _first(
        self, link: upstreamconnection.UpstreamConnection
    ) -> responsehead.ResponseHead:
        request = self._demand.id.encode("latin-1")
        while True:
            event = self._patience.next_part(link)
            if not isinstance(event, h11.Response):
                raise exchangeerror.ExchangeError(
                    _Trouble.GARBLED, "no answer"
                )
            got = responsehead.ResponseHead(
                event.status_code, list(event.headers)
            )
            if got.is_for(request, self._env.header_names):
                return got
            if not headers.value(
                got.headers, self._env.header_names.request_id
            ):
                raise exchangeerror.ExchangeError(
                    _Trouble.GARBLED, "without an id"
                )
            # A late second answer to an earlier request; ours follows.
            self._body(link)
            link.expect_next_response()

    def _begun(self) -> None:
        # It waits no longer, so it is behind nobody any more.
        if self._placed.late and not self._counted_begun:
            self._counted_begun = True
            self._load.late -= 1

    def _heard(self, got: responsehead.ResponseHead) -> None:
        self._means.stall_detector.record_activity(self._placed.upstream)
        self._begun()
        load = got.load(self._env.header_names)
        if load is not None:
            now = self._env.clock.now()
            self._load.record_report(load.running, load.waiting, now)

    def _turned_away(
        self,
        link: upstreamconnection.UpstreamConnection,
        got: responsehead.ResponseHead,
    ) -> attemptresult.AttemptResult:
        self._body(link)
        fault = headers.value(got.headers, self._env.header_names.at_fault)
        span = _LIST_LAG if got.status == 421 else _FULL
        self._means.stall_detector.avoid(self._placed.upstream, span)
        if fault and fault != self._placed.upstream.encode():
            self._means.stall_detector.on_stall(self._placed.upstream)
        why = f"{got.status} {fault.decode('latin-1')}"
        return attemptresult.AttemptResult(_Ending.NOT_RUN, why)

    def _body(self, link: upstreamconnection.UpstreamConnection) -> bytes:
        held = bytearray()
        while True:
            event = self._patience.next_part(link)
            if isinstance(event, h11.Data):
                held += event.data
                if len(held) > _MOST_HELD:
                    raise exchangeerror.ExchangeError(
                        _Trouble.GARBLED, "too long"
                    )
            elif isinstance(event, h11.EndOfMessage):
                self._check_end()
                return bytes(held)
            else:
                raise exchangeerror.ExchangeError(
                    _Trouble.BROKEN, "it ended early"
                )

    def _check_end(self) -> None:
        """Refuse an end that may be a crash.

        An answer without a length ends with its connection, and so does one
        whose upstream crashed in the middle: the caller would take a part
        for the whole.  One that crashed does not listen any more.

        :raises linkerror.LinkError: when nobody listens.
        """
        if self._got is None or self._got.is_framed():
            return
        try:
            self._means.pool.check_listening(self._address)
        except exchangeerror.ExchangeError as error:
            raise exchangeerror.ExchangeError(
                _Trouble.BROKEN, f"ended with its upstream: {error}"
            ) from error

    def _relay(
        self,
        link: upstreamconnection.UpstreamConnection,
        got: responsehead.ResponseHead,
    ) -> None:
        cutter = eventsplitter.EventSplitter()
        while True:
            event = self._patience.next_stream_part(link)
            if isinstance(event, h11.EndOfMessage):
                self._check_end()
                break
            if not isinstance(event, h11.Data):
                raise exchangeerror.ExchangeError(
                    _Trouble.BROKEN, "it ended early"
                )
            self._means.stall_detector.record_activity(self._placed.upstream)
            whole = cutter.feed(bytes(event.data))
            data = b"".join(e.raw for e in whole if self._is_next(e))
            if data:
                self._pass_on(got, data)
        if cutter.remainder.strip():
            raise exchangeerror.ExchangeError(_Trouble.BROKEN, "half an event")
        if not self._reply.started:
            self._reply.start(got.status, headers.end_to_end(got.headers))
        self._reply.finish()
        self._env.metrics.observe_gap(self._relayed.longest_gap)

    def _is_next(self, event: eventsplitter.Event) -> bool:
        last = self._relayed.last_event_id
        if event.id is None or last is None:
            self._relayed.last_event_id = (
                event.id if event.id is not None else last
            )
            return True
        if event.id <= last:
            # A resumed stream may begin with what the caller has.
            return False
        if event.id != last + 1:
            raise exchangeerror.ExchangeError(
                _Trouble.GARBLED, "an event is missing"
            )
        self._relayed.last_event_id = event.id
        return True

    def _pass_on(self, got: responsehead.ResponseHead, data: bytes) -> None:
        now = self._env.clock.now()
        relayed = self._relayed
        if not self._reply.started:
            self._reply.start(got.status, headers.end_to_end(got.headers))
            took = now - self._demand.request.arrived_at
            self._env.metrics.observe_first_event(
                took, self._placed.forecast.first
            )
        else:
            relayed.longest_gap = max(
                relayed.longest_gap, now - relayed.last_event_at
            )
        relayed.last_event_at = now
        relayed.event_count += 1
        self._reply.send(data)

    def _failed(
        self, error: exchangeerror.ExchangeError, address: str
    ) -> attemptresult.AttemptResult:
        now = self._env.clock.now()
        if now < self._demand.deadline:
            self._load.circuit.record_failure(now, fatal=False)
        if error.failure is _Trouble.SILENT:
            # What went silent may be all connections, while new ones work.
            self._means.pool.close_idle(address)
            return attemptresult.AttemptResult(_Ending.STALLED, str(error))
        if error.failure is _Trouble.BROKEN:
            upstream = self._placed.upstream
            self._means.crash_detector.check_upstream(
                self._demand, upstream, address
            )
        return attemptresult.AttemptResult(_Ending.BROKEN, str(error))
