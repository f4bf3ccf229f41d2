"""One connection to an upstream, for one exchange at a time."""

import contextlib
import itertools

import eventlet
import h11

from citronvalve.forward import exchangeerror
from citronvalve.forward import headers
from citronvalve.forward import relayframe
from citronvalve.forward import relaytransport
from citronvalve.forward import transport as transports
from citronvalve.model import clock
from citronvalve.policy import sending

_READ_SIZE = 65_536

#: Requests of up to this many bytes fit into the socket's buffer and are sent
#: inline.  Larger ones are sent on a green thread, since an upstream may
#: respond before it has read them.
_MAX_INLINE_SEND = 16_384

#: Bytes per send.  A relay's transport copies each.
_MAX_SEND = 131_072

#: Parts of responses that are read before other tasks run, and the parts that
#: a receive counts as.
_MAX_PARTS = 100
_RECEIVE_COST = 20

#: Preliminary responses that may come before the final one.
_MAX_PRELIMINARY = 16

#: Requests of one connection, whose ids are kept as long as it is open.
_MAX_REQUESTS = 100

_Failure = exchangeerror.ExchangeFailure

_numbers = itertools.count(1)


class UpstreamConnection:
    """An h11 client on one transport.

    :param transport: connected to the upstream.
    :param time_source: the clock.
    :ivar number: tells it from all others of the process, in logs.
    :ivar reusable_until: monotonic ms until which it may be reused.
    :ivar sending_since: monotonic ms at which the sending began.
    :ivar used: whether an exchange on it has completed.
    """

    def __init__(
        self, transport: transports.Transport, time_source: clock.Clock
    ) -> None:
        self._transport = transport
        self._clock = time_source
        self._parser = h11.Connection(h11.CLIENT)
        self._method = b"GET"
        self._sender: eventlet.greenthread.GreenThread | None = None
        self._handed = 0
        self._head_size = 0
        self._parts = 0
        self._preliminary = 0
        self._carried: set[str] = set()
        self.number = next(_numbers)
        self.reusable_until: clock.Ms = 0
        self.sending_since: clock.Ms = 0
        self.used = False

    @property
    def is_unread(self) -> bool:
        """Return whether a part is not sent yet, and no response has begun."""
        return (
            self._sender is not None
            and not self._sender.dead
            and self._parser.their_state is h11.SEND_RESPONSE
        )

    @property
    def may_run(self) -> bool:
        """Return whether the upstream may run what it was sent."""
        return sending.may_run(self._handed, self._head_size)

    @property
    def relay(self) -> str:
        """Return the name of the daemon that relays, empty if direct."""
        return self._transport.relay

    def leads_to(self, upstream: str) -> bool:
        """Return whether it can carry requests for an upstream.

        :param upstream: its id.
        """
        return self._transport.leads_to(upstream)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request was sent on it before.

        Its answer may come a second time.  The answer to another sending of
        the request on this connection could not be told from that.

        :param request_id: the request's id.
        """
        return request_id in self._carried

    def record_request(self, request_id: str) -> None:
        """Record a request that is about to be sent on it.

        :param request_id: the request's id.
        """
        self._carried.add(request_id)

    def begin(self, request_id: str) -> bool:
        """Announce the next request; return False if it must be closed.

        :param request_id: the request's id.
        """
        try:
            self._transport.begin(request_id)
        except OSError:
            return False
        return True

    def send(
        self,
        method: bytes,
        target: bytes,
        head: list[headers.Header],
        body: bytes,
    ) -> None:
        """Send a request, framed anew.

        A long body is not copied.

        :param method: as the caller sent it.
        :param target: path and query, as the caller sent them.
        :param head: without framing.
        :param body: the complete body.
        :raises exchangeerror.ExchangeError: when the connection is closed.
        """
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            head = [*head, (b"content-length", b"%d" % len(body))]
        self._method = method
        data = self._parser.send(
            h11.Request(method=method, target=target, headers=head)
        )
        self._handed, self._head_size = 0, len(data)
        self.sending_since = self._clock.now()
        if body:
            # With a length, a body is sent as it is.
            self._parser.send_with_data_passthrough(h11.Data(body))
        self._parser.send(h11.EndOfMessage())
        if len(data) + len(body) <= _MAX_INLINE_SEND:
            rest = memoryview(data + body)
            rest = rest[self._send_some(rest) :]
            parts = [rest] if rest else []
        else:
            parts = [memoryview(data), memoryview(body)]
        if parts:
            self._sender = eventlet.spawn(self._send_in_background, parts)

    def next_event(self, deadline: clock.Ms) -> h11.Event:
        """Return the next part of the response.

        :param deadline: monotonic ms.
        :raises exchangeerror.ExchangeError: when nothing arrives in time,
            the connection breaks or the data is not HTTP.
        """
        while True:
            self._parts += 1
            if self._parts >= _MAX_PARTS:
                # An upstream that sends without end would let none run.
                self._parts = 0
                eventlet.sleep(0)
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise exchangeerror.ExchangeError(
                    _failure_of(error), str(error)
                ) from error
            if isinstance(event, h11.InformationalResponse):
                self._preliminary += 1
                if self._preliminary > _MAX_PRELIMINARY:
                    raise exchangeerror.ExchangeError(
                        _Failure.GARBLED, "preliminary responses only"
                    )
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise exchangeerror.ExchangeError(
                    _Failure.BROKEN, "connection closed without a response"
                )
            if event is not h11.NEED_DATA:
                return event
            self._parser.receive_data(self._receive(deadline))
            self._parts += _RECEIVE_COST

    def expect_next_response(self) -> None:
        """Read another response, after one to a different request.

        An upstream may send a late duplicate response to an earlier request
        before the response to this one.

        :raises exchangeerror.ExchangeError: when no other can follow.
        """
        if self._parser.their_state is not h11.DONE:
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "response is to another request"
            )
        trailing, closed = self._parser.trailing_data
        if closed:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "closed after a response to another request"
            )
        # The request is sent already; a parser that reads the next response
        # needs only its method.
        self._parser = h11.Connection(h11.CLIENT)
        host = [(b"host", b"-")]
        self._parser.send(
            h11.Request(method=self._method, target=b"/", headers=host)
        )
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    def end_request(self) -> bool:
        """Announce the end of a request; return False if it must be closed."""
        try:
            self._transport.end_request()
        except OSError:
            return False
        return True

    def prepare_reuse(self) -> bool:
        """Reset for the next request; return False if it must be closed."""
        sent = self._sender is None or self._sender.dead
        parser = self._parser
        if not sent or parser.trailing_data[0]:
            return False
        if len(self._carried) >= _MAX_REQUESTS:
            return False
        if parser.our_state is not h11.DONE:
            return False
        if parser.their_state is not h11.DONE:
            return False
        if not self.end_request():
            return False
        parser.start_next_cycle()
        self._preliminary = 0
        self._sender = None
        self.used = True
        return True

    def is_idle(self) -> bool:
        """Return whether the connection is open with nothing to read.

        Data that arrives between two exchanges belongs to no request.
        """
        return self._transport.is_idle()

    def close(self) -> None:
        """Close it; the upstream cancels the request that it was running."""
        if self._sender is not None:
            self._sender.kill()
        self._transport.close()

    def _send_some(self, data: memoryview) -> int:
        # Counted before, since a relay's transport waits until all is sent.
        self._handed += len(data)
        try:
            sent = self._transport.send_some(data)
        except OSError as error:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, str(error)
            ) from error
        self._handed -= len(data) - sent
        return sent

    def _send_in_background(self, parts: list[memoryview]) -> None:
        # The transport keeps an error for the reader.
        with contextlib.suppress(exchangeerror.ExchangeError, OSError):
            for part in parts:
                self._send_part(part)

    def _send_part(self, data: memoryview) -> None:
        while data:
            part = data[:_MAX_SEND]
            sent = self._send_some(part)
            data = data[sent:]
            if sent < len(part):
                self._transport.wait_writable()

    def _receive(self, deadline: clock.Ms) -> bytes:
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise exchangeerror.ExchangeError(
                _Failure.SILENT, "no data arrived in time"
            )
        try:
            return self._transport.receive(_READ_SIZE, remaining)
        except TimeoutError as error:
            raise exchangeerror.ExchangeError(
                _Failure.SILENT, "no data arrived in time"
            ) from error
        except relaytransport.RelayRefusedError as error:
            rest = relayframe.decode_refusal(error.reason).rest
            raise exchangeerror.ExchangeError(
                _Failure.RESTING if rest else _Failure.NO_LINK,
                str(error),
                rest,
            ) from error
        except OSError as error:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, str(error)
            ) from error


def _failure_of(
    error: h11.RemoteProtocolError,
) -> exchangeerror.ExchangeFailure:
    # The parser raises the same type for a premature close and for bytes
    # that are no response.
    cut = "closed" in str(error).lower()
    return _Failure.BROKEN if cut else _Failure.GARBLED
