"""One HTTP client of the platform, which says whether a write was sent."""

from typing import NamedTuple

import msgspec
import urllib3

from citronvalve.model import clock
from citronvalve.model import missing

#: An answer above this is refused, so that a broken platform can't fill a
#: daemon's memory.  A whole table of 12,000 rows takes about 4 MB.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

#: Connections kept and used at once; further callers wait for one.
MAX_CONNECTIONS = 8

#: A connection unused for so long may have been forgotten by something
#: between the two ends; a write on it would be lost in silence.
MAX_IDLE_TIME: clock.Ms = 30_000

#: Bytes taken from a connection at once.
_CHUNK_BYTES = 256 * 1024

#: The first try of a read gets this part of the timeout, the second, on a
#: new connection, the rest: a connection gone silent is found soon, and a
#: store that is slow for long is still given most of the time.
_FIRST_ATTEMPT_DIVISOR = 4

_NOT_SENT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class Response(NamedTuple):
    """The status and the whole body of an answer."""

    status: int
    body: bytes


class ErrorBody(msgspec.Struct):
    """The platform's body for a call that it did not carry out."""

    reason: str
    done: bool = True


class PlatformClient:
    """Keeps a pool of connections to the platform.

    The pool is dropped after a silence: an open connection can go silent
    for good while new ones work, and a kept one would then fail each call.

    :param address: host:port.
    :param timeout: ms that one call may take in all.
    :param now: clock by which idle connections are dropped.
    :param undone: statuses by which the platform says that it did nothing.
    """

    def __init__(
        self,
        address: str,
        timeout: clock.Ms = 2_000,
        time_source: clock.Clock | None = None,
        not_executed_statuses: frozenset[int] = frozenset(),
    ) -> None:
        self.address = address
        self._not_executed_statuses = not_executed_statuses
        self._timeout = timeout
        self._clock = time_source or clock.SystemClock()
        self._last_used_at = self._clock.now()
        self._last_read_duration: clock.Ms = 0
        self._pool = self._new_pool()

    def read(self, path: str) -> Response | missing.Unavailable:
        """Ask for something; a failure leaves nothing changed.

        :param path: path and query.
        """
        reason = ""
        for timeout in self._attempt_timeouts():
            started_at = self._clock.now()
            try:
                response = self._call("GET", path, None, timeout)
            except (urllib3.exceptions.HTTPError, OSError) as error:
                reason = str(error)
                self._drop_pool()
                continue
            self._last_read_duration = self._clock.now() - started_at
            return response
        return missing.Unavailable(reason, self._url(path))

    def long_poll(
        self, path: str, timeout: clock.Ms
    ) -> Response | missing.Unavailable:
        """Ask once for something that the other side may hold back.

        A second try would only wait as long again.

        :param path: path and query.
        :param timeout: ms, more than the other side may hold it back.
        """
        try:
            return self._call("GET", path, None, timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._drop_pool()
            return missing.Unavailable(str(error), self._url(path))

    def write(
        self, method: str, path: str, body: bytes
    ) -> Response | missing.Unavailable | missing.AnswerLost:
        """Send a write once.

        It is never sent again from here: whether that is safe is known
        only to the caller.

        :param method: HTTP method.
        :param path: path and query.
        :param body: the content.
        """
        where = self._url(path)
        try:
            response = self._call(method, path, body, self._timeout)
        except _NOT_SENT_ERRORS as error:
            return missing.Unavailable(str(error), where)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._drop_pool()
            return missing.AnswerLost(str(error), where)
        if response.status in self._not_executed_statuses:
            return missing.Unavailable(f"status {response.status}", where)
        return (
            response
            if response.status < 500
            else _server_failure(response, where)
        )

    def _attempt_timeouts(self) -> tuple[clock.Ms, clock.Ms]:
        short = self._timeout // _FIRST_ATTEMPT_DIVISOR
        # While the store is slow the short try would only add to its load.
        if self._last_read_duration > short:
            return self._timeout - short, short
        return short, self._timeout - short

    def _call(
        self, method: str, path: str, body: bytes | None, timeout: clock.Ms
    ) -> Response:
        if self._clock.now() - self._last_used_at > MAX_IDLE_TIME:
            self._drop_pool()
        response = self._pool.urlopen(
            method,
            path,
            body=body,
            headers={"Content-Type": "application/json"},
            retries=False,
            redirect=False,
            timeout=timeout / clock.SECOND,
            pool_timeout=timeout / clock.SECOND,
            preload_content=False,
        )
        data = self._read_body(response, timeout)
        response.release_conn()
        self._last_used_at = self._clock.now()
        return Response(response.status, data)

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, timeout: clock.Ms
    ) -> bytes:
        # The library's timeout is that of one receive: an answer that drips
        # would hold its caller for ever.
        deadline = self._clock.now() + timeout
        body = bytearray()
        while chunk := response.read1(_CHUNK_BYTES):
            body += chunk
            is_late = self._clock.now() > deadline
            if is_late or len(body) > MAX_RESPONSE_BYTES:
                response.close()
                problem = "takes too long" if is_late else "is too large"
                raise urllib3.exceptions.ResponseError(f"the answer {problem}")
        return bytes(body)

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self.address.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=MAX_CONNECTIONS, block=True
        )

    def _drop_pool(self) -> None:
        self._pool.close()
        self._pool = self._new_pool()
        self._last_used_at = self._clock.now()

    def _url(self, path: str) -> str:
        return f"http://{self.address}{path}"


def _server_failure(
    response: Response, where: str
) -> missing.Unavailable | missing.AnswerLost:
    # Only the platform's own word that nothing was done counts: a balancer
    # in between may answer 503 after the write has taken effect.
    try:
        error = msgspec.json.decode(response.body, type=ErrorBody)
    except msgspec.MsgspecError:
        error = ErrorBody(f"status {response.status}")
    if error.done:
        return missing.AnswerLost(error.reason, where)
    return missing.Unavailable(error.reason, where)
