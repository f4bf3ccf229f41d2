"""One connection that an answer arrives on."""

from collections.abc import Iterator

import eventlet
import urllib3

from citronvalve.model import clock
from citronvalve.upstreams import eventparser
from citronvalve.upstreams import failure
from citronvalve.upstreams import httperror

_BLOCK_SIZE = 65_536


class EngineStream:
    """Yields pieces, heartbeats and, at the end, trouble if there is any.

    :param response: headers read, body not.
    :param where: the upstream's address.
    :param remaining: ms until the deadline, when reading is cut off.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        address: str,
        remaining: clock.Ms,
    ) -> None:
        self._response = response
        self._address = address
        # The idle limit alone would hold a caller of a slow engine until
        # the next heartbeat after its deadline.
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
            failure.FailureKind.BROKEN, "ended without a last piece"
        )

    def drain(self) -> None:
        """Read to the end of the body so that the connection is kept."""
        try:
            self._response.drain_conn()
        except httperror.ERRORS:
            return
        self._body_read = True

    def close(self) -> None:
        """Give the connection back, or end it if the body is unread."""
        self._deadline_timer.cancel()
        if self._body_read:
            self._response.release_conn()
        else:
            self._response.close()

    def _shut_down(self) -> None:
        # Shutting down wakes the reader; closing would leave it waiting.
        try:
            self._response.shutdown()
        except httperror.ERRORS:
            return
