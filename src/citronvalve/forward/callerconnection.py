"""One caller's connection: reads requests strictly, sends responses."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import socket

import eventlet
import h11

from citronvalve.forward import bodydecoder
from citronvalve.forward import callergone
from citronvalve.forward import callerrequest
from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import headfeed
from citronvalve.forward import notread
from citronvalve.forward import output
from citronvalve.forward import problem
from citronvalve.forward import receiving
from citronvalve.forward import reply
from citronvalve.forward import requestbody
from citronvalve.forward import transport
from citronvalve.forward import unread
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import callerbudget
from citronvalve.policy import memoryaccount
from citronvalve.policy import stopschedule
from citronvalve.routes import callerlimits

#: Bytes per read; a usual request fits into one.
_READ_SIZE = 65_536

#: Bytes of a body that is sent in one call with its head.
_MAX_JOINED = 16_384

#: Bytes that a caller may pipeline while its request is answered.
_MAX_PIPELINED_BYTES = 65_536

#: Time to drain unread bytes after a refusal: closing at once would reset the
#: connection and discard the response in flight.
_LINGER: clock.Ms = 1_000

#: Added to the idle timeout, so that a request sent at its end is served.
_IDLE_SLACK: clock.Ms = 1_000

_VERSIONS = frozenset({b"1.0", b"1.1"})

Handler = Callable[[callerrequest.CallerRequest, reply.Reply], None]


class CallerConnection(reply.Reply):
    """Reads one request after the other and passes each to the handler.

    The parser rejects ambiguous framing (two lengths, a space before a
    colon, a length with a transfer coding) to prevent request smuggling:
    what follows such a request could run as another caller's.

    :param sock: an accepted socket.
    :param env: the daemon's environment.
    :param limits: returns the limits in force.
    :param handler: answers a request.
    :param watches: whether the handler is interrupted once the caller leaves.
    :ivar idle: whether it waits for a request of which nothing was read.
    :ivar reading_since: monotonic ms since when a request is read that is not
        complete, None if there is none.
    """

    def __init__(
        self,
        sock: socket.socket,
        env: environments.Environment,
        limits: Callable[[], callerlimits.CallerLimits],
        handler: Handler,
        watches: bool = True,
    ) -> None:
        self._sock = sock
        self._env = env
        self._limits = limits
        self._handler = handler
        self._watches = watches
        self._output = output.open_output(
            sock, env, self._interrupt, limits().write_timeout
        )
        self._task: eventlet.greenlet.greenlet | None = None
        self._parser = self._new_parser()
        self._pending = b""
        self._kept = 0
        self._body: requestbody.RequestBody | None = None
        self._aborted = False
        self._omit_body = False
        # A new connection is not closed as idle before its first request has
        # arrived.  A later request might outlast the grace.
        self._first_request_until = (
            env.clock.now() + stopschedule.FIRST_REQUEST_TIME
        )
        self.idle = True
        self.reading_since: clock.Ms | None = None
        self.started = False

    @property
    def socket(self) -> socket.socket:
        return self._sock

    def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while self._serve_one():
                pass
            self._close_gracefully()
        except (
            OSError,
            h11.LocalProtocolError,
            callergone.CallerGoneError,
        ):
            # The caller has disconnected or the response was aborted; the
            # log line of the request says which.
            self._reset()
        finally:
            self._output.close()
            self._env.bodies.drop(self)
            self._keep(b"")

    def close_if_idle(self) -> bool:
        """Close the connection if it waits for a request.

        :returns: whether it did.
        """
        is_new = self._env.clock.now() < self._first_request_until
        if not self.idle or is_new or not transport.is_quiet(self._sock):
            return False
        self.close()
        return True

    def close(self) -> None:
        """Close the connection; its task ends when it runs next."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def check_caller(self) -> None:
        # The green thread that watches the caller has not run yet if nothing
        # has blocked since the request was read.
        try:
            while self._may_pipeline():
                self._receive_pipelined(
                    self._sock.fd.recv(_READ_SIZE, socket.MSG_DONTWAIT)
                )
        except BlockingIOError:
            return
        except OSError as error:
            raise _caller_gone(error) from error

    def send_whole(
        self, status: int, head: Iterable[headers.Header], body: bytes
    ) -> None:
        length = (b"content-length", b"%d" % len(body))
        self._start(status, [*head, length])
        data = self._out
        if self._omit_body:
            body = b""
        if body:
            # With a length, a body is sent as it is.
            self._parser.send_with_data_passthrough(h11.Data(body))
        self._parser.send(h11.EndOfMessage())
        if len(body) <= _MAX_JOINED:
            self._write(data + body)
            return
        self._write(data)
        self._write(body)

    def start(self, status: int, head: Iterable[headers.Header]) -> None:
        self._start(status, [*head, (b"transfer-encoding", b"chunked")])
        self._write(self._out)

    def send(self, data: bytes) -> None:
        self._write(self._parser.send(h11.Data(data)))

    def finish(self) -> None:
        self._write(self._parser.send(h11.EndOfMessage()))

    def wait_written(self) -> None:
        if not self._aborted:
            self._output.wait_written()

    def abort(self) -> None:
        self._aborted = True

    def send_refusal(self, refused: refusal.Refusal, request_id: str) -> None:
        rendered = problem.render(refused, request_id)
        self.send_whole(rendered.status, rendered.headers, rendered.body)

    def _start(self, status: int, head: list[headers.Header]) -> None:
        self.started = True
        if self._env.stopping:
            head.append((b"connection", b"close"))
        self._out = self._parser.send(
            h11.Response(status_code=status, headers=head)
        )

    def _write(self, data: bytes) -> None:
        self._output.write(data)

    def _serve_one(self) -> bool:
        try:
            request = self._read_request()
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
            return False
        if request is None:
            return False
        self.reading_since = None
        self.started = False
        self._first_request_until = 0
        self._aborted = False
        self._omit_body = request.method == b"HEAD"
        self._answer(request)
        self._env.bodies.drop(self)
        if self._aborted:
            raise BrokenPipeError("the response was aborted")
        if self._parser.our_state is not h11.DONE:
            return False
        # The end of a connection whose last response began before the stop
        # was not announced.
        if self._env.has_stopped_listening():
            return False
        self._parser = self._new_parser()
        return True

    def _new_parser(self) -> h11.Connection:
        """Return a parser for the next request's head and its response.

        The parser does not see bodies.
        """
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().max_header_bytes,
        )

    def _answer(self, request: callerrequest.CallerRequest) -> None:
        self._task = eventlet.getcurrent()
        watch = eventlet.spawn(self._watch_caller) if self._watches else None
        try:
            self._handler(request, self)
            self.wait_written()
        finally:
            self._task = None
            if watch is not None:
                watch.kill()

    def _watch_caller(self) -> None:
        try:
            while self._may_pipeline():
                self._receive_pipelined(
                    receiving.receive(self._sock, _READ_SIZE, None)
                )
        except OSError as error:
            self._interrupt(_caller_gone(error))

    def _interrupt(self, error: Exception) -> None:
        """Raise an error in the handler, if it is still at work then."""
        eventlet.hubs.get_hub().schedule_call_global(
            0, self._throw, self._task, error
        )

    def _throw(
        self, task: eventlet.greenlet.greenlet | None, error: Exception
    ) -> None:
        if task is self._task and task is not None:
            task.throw(error)

    def _receive_pipelined(self, data: bytes) -> None:
        """Buffer what a caller sends while its request is answered.

        A waiting caller sends nothing or pipelines its next request; the
        end of its data means that it has disconnected.

        :param data: as received; empty at the end.
        :raises ConnectionError: at the end.
        """
        if not data:
            raise ConnectionResetError("the caller closed the connection")
        self._keep(self._pending + data)

    def _may_pipeline(self) -> bool:
        is_within = len(self._pending) < _MAX_PIPELINED_BYTES
        return is_within and not self._env.memory.is_full

    def _keep(self, pending: bytes, head_size: int = 0) -> None:
        """Keep what has arrived and is not parsed, and count it.

        :param pending: in place of what was kept.
        :param head_size: bytes of an incomplete head that the parser has.
        """
        self._pending = pending
        more = len(pending) + head_size - self._kept
        if more:
            self._kept += more
            self._env.memory.add(memoryaccount.Part.REQUESTS, more)

    def _read_request(self) -> callerrequest.CallerRequest | None:
        head = self._read_head()
        if not isinstance(head, h11.Request):
            return None
        _check_head(head)
        arrived_at = self._env.clock.now()
        if self._parser.they_are_waiting_for_100_continue:
            self._write(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        body = self._read_body(head, arrived_at)
        if body is None:
            return None
        return callerrequest.CallerRequest(
            head.method,
            head.target,
            list(head.headers),
            body,
            arrived_at,
        )

    def _read_body(
        self, head: h11.Request, arrived_at: clock.Ms
    ) -> bytes | None:
        """Return a request's body, None if it is not read to its end.

        :param head: of the request.
        :param arrived_at: monotonic ms.
        """
        limits = self._limits()
        decoder = requestbody.decoder_of(head)
        until = arrived_at + requestbody.time_allowed(
            head, self._env.header_names, limits
        )
        self._body = requestbody.RequestBody(
            self._env, self, decoder, limits.max_body_bytes
        )
        decoder.feed(self._parser.trailing_data[0] + self._pending)
        self._keep(b"")
        self._task = eventlet.getcurrent()
        try:
            body = self._body.read(
                lambda: self._receive_body(limits.header_timeout, until)
            )
        except requestbody.BodyNotReadError as error:
            self._refuse_unread(head, error)
            return None
        except bodydecoder.BodyError as error:
            raise h11.RemoteProtocolError(error.reason) from error
        finally:
            self._task = self._body = None
        self._keep(decoder.undecoded)
        self._env.bodies.settle(self, len(body))
        return body

    def _receive_body(self, timeout: clock.Ms, until: clock.Ms) -> bytes:
        """Return the next bytes of a body.

        :param timeout: ms without a byte.
        :param until: monotonic ms by which all must have come.
        :raises requestbody.BodyNotReadError: when none come in time.
        :raises h11.RemoteProtocolError: at the end of the connection.
        """
        left = until - self._env.clock.now()
        data = self._receive_in(min(timeout, left))
        if data is None:
            raise requestbody.TooLateError(
                f"no rest within {timeout} ms"
                if left > timeout
                else "the body took longer than it may"
            )
        if not data:
            raise h11.RemoteProtocolError(
                "the caller closed the connection in a body"
            )
        return data

    def end_body(self, held: callerbudget.Held) -> None:
        """Refuse the request that is being read, since memory is needed.

        :param held: what it held.
        """
        if self._body is None:
            return
        self._body.end()
        self._env.log.change(
            "body ended",
            bytes=held.size,
            for_ms=self._env.clock.now() - held.since,
            callers=self._env.bodies.holders,
            bodies_in_all=self._env.bodies.used,
        )
        if self._task is not eventlet.getcurrent():
            self._interrupt(requestbody.NoMemoryError("memory"))

    def _refuse_unread(
        self, head: h11.Request, error: requestbody.BodyNotReadError
    ) -> None:
        """Refuse a request whose body is not read to its end.

        :param head: of the request.
        :param error: why.
        """
        self._env.bodies.drop(self)
        if isinstance(error, requestbody.TooLateError):
            self._log_unread(notread.NotRead.TOO_SLOW, error.reason)
        rendered = unread.refuse(self._env, head, error)
        self.send_whole(rendered.status, rendered.headers, rendered.body)

    def _read_head(self):
        data: bytes | None = self._pending
        if not data:
            self.idle = True
            data = self._await_request()
            self.idle = False
        if data is None:
            return None
        self.reading_since = self._env.clock.now()
        return self._parse_head(data, self._limits().header_timeout)

    def _await_request(self) -> bytes | None:
        """Return the first bytes of a request, or None if none come in time.

        The limit may be raised meanwhile.
        """
        started_at = self._env.clock.now()
        while True:
            limit = self._limits().idle_timeout + _IDLE_SLACK
            remaining = started_at + limit - self._env.clock.now()
            data = self._receive_in(remaining)
            if data is not None or remaining <= 0:
                return data

    def _parse_head(self, data: bytes, timeout: clock.Ms):
        """Return the event of a head, or of the connection's end.

        :param data: the first bytes.
        :param timeout: ms until the head is complete.
        """
        deadline = self._env.clock.now() + timeout
        feed = headfeed.HeadFeed(self._parser)
        while True:
            rest = feed.feed(data)
            # The parser has a copy.
            data = b""
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                self._keep(rest, 0)
                return event
            self._keep(rest, feed.size)
            following = rest or self._receive_in(
                deadline - self._env.clock.now()
            )
            if following is None:
                self._log_unread(
                    notread.NotRead.TOO_SLOW, f"no rest within {timeout} ms"
                )
                return None
            data = following

    def _log_unread(self, why: notread.NotRead, detail: str) -> None:
        self._env.log.note("request not read", why=why, detail=detail)

    def _receive_in(self, timeout: clock.Ms) -> bytes | None:
        """Return the next bytes, or None if none come in time.

        :param timeout: ms.
        """
        if timeout <= 0:
            return None
        try:
            return receiving.receive(self._sock, _READ_SIZE, timeout)
        except TimeoutError:
            return None

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        self._env.metrics.record_malformed(error.error_status_hint)
        self._log_unread(notread.NotRead.MALFORMED, str(error))
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            rendered = problem.for_malformed(
                error.error_status_hint, str(error)
            )
            head = [*rendered.headers, (b"connection", b"close")]
            self.send_whole(rendered.status, head, rendered.body)

    def _close_gracefully(self) -> None:
        self._output.wait_written()
        self._sock.shutdown(socket.SHUT_WR)
        deadline = self._env.clock.now() + _LINGER
        while self._receive_in(deadline - self._env.clock.now()):
            # A caller that sends without end would let no task run.
            eventlet.sleep(0)
        # What the caller has not read yet is still sent.
        self._sock.close()

    def _reset(self) -> None:
        self._output.close()
        with contextlib.suppress(OSError):
            # Without a reset, an aborted response of unknown length would look
            # like a complete one.
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
        with contextlib.suppress(OSError):
            self._sock.close()


def _caller_gone(error: Exception) -> callergone.CallerGoneError:
    return callergone.CallerGoneError(f"the caller has disconnected: {error}")


def _check_head(head: h11.Request) -> None:
    if head.http_version not in _VERSIONS:
        # The parser reads any version as 1.1, but another version may frame
        # bodies differently; part of a body could then run as a request.
        raise h11.RemoteProtocolError(
            "this HTTP version is not supported", error_status_hint=505
        )
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise h11.RemoteProtocolError(
            "Content-Length and Transfer-Encoding are both given"
        )
    if head.method == b"CONNECT":
        raise h11.RemoteProtocolError("CONNECT is not supported")
