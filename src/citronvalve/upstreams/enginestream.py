"""The response stream of one attempt on an engine."""

from collections.abc import Iterator

import eventlet
import urllib3

from citronvalve.model import clock
from citronvalve.upstreams import eventparser
from citronvalve.upstreams import failure
from citronvalve.upstreams import httperror

_BLOCK_SIZE = 65_536


class EngineStream:
    """Iterates over pieces and heartbeats; a failure is the last item.

    :param response: its headers are read, its body is not.
    :param address: host:port of the upstream.
    :param remaining: ms until the deadline, at which reading is aborted.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        address: str,
        remaining: clock.Ms,
    ) -> None:
        self._response = response
        self._address = address
        # With the idle timeout alone, the caller of a slow engine would
        # wait for the first heartbeat after its deadline.
        self._deadline_timer = eventlet.spawn_after(
            max(0, remaining) / clock.SECOND, self._shut_down
        )
        self._body_read = False

    def __iter__(self) -> Iterator[eventparser.Item]:
        parser = eventparser.EventParser(self._address)
        try:
            for block in self._response.read_chunked(_BLOCK_SIZE):
                yield from parser.feed(block)
        except httperror.ERRORS as error:
            yield httperror.classify(error, self._address)
            return
        self._body_read = True
        yield failure.Failure(
            failure.FailureKind.BROKEN, "the stream ended without a last piece"
        )

    def drain(self) -> None:
        """Read the rest of the body so that the connection can be reused."""
        try:
            self._response.drain_conn()
        except httperror.ERRORS:
            return
        self._body_read = True

    def close(self) -> None:
        """Release the connection, or close it if the body is unread."""
        self._deadline_timer.cancel()
        if self._body_read:
            self._response.release_conn()
        else:
            self._response.close()

    def _shut_down(self) -> None:
        # A shutdown wakes the reader; a close would leave it blocked.
        try:
            self._response.shutdown()
        except httperror.ERRORS:
            return
