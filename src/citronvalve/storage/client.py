"""HTTP client of the platform that knows whether a write had an effect."""

from typing import NamedTuple

import msgspec
import urllib3

from citronvalve.connections import pool as pools
from citronvalve.model import clock
from citronvalve.model import decoding
from citronvalve.model import missing

#: Larger responses are rejected, so that a broken platform can't exhaust a
#: daemon's memory.  A table of 12,000 rows takes about 4 MB.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

#: Size of the connection pool; further callers wait for a connection.
MAX_CONNECTIONS = 8

#: Longer unused connections are not used again: a device between the two
#: ends may have dropped their state, and a write would be lost silently.
MAX_IDLE_TIME: clock.Ms = 30_000

#: Maximum number of bytes read from a connection at once.
_CHUNK_BYTES = 256 * 1024

#: The first attempt of a read gets this fraction of the timeout and the
#: second, on a new connection, the rest: a silent connection is detected
#: soon, and a store that stays slow still gets most of the time.
_FIRST_ATTEMPT_DIVISOR = 4

_NOT_SENT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class Response(NamedTuple):
    """Status and complete body of a response."""

    status: int
    body: bytes


class ErrorBody(msgspec.Struct):
    """Body of an error response; ``done`` is false if nothing was done."""

    reason: str
    done: bool = True


class PlatformClient:
    """HTTP client with a pool of connections to the platform.

    The pool is discarded after a timeout: an open connection can stay silent
    forever while new ones work, and would then fail each call.

    :param address: host:port.
    :param timeout: ms for one call, all attempts included.
    :param time_source: clock for timeouts and idle connections.
    :param not_executed_statuses: statuses by which the platform says that
        a call had no effect.
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
        self._last_read_failed = False
        self._pool = self._new_pool()

    def read(self, path: str) -> Response | missing.Unavailable:
        """Send a GET request, and once more if the first attempt fails.

        During an outage there is only one attempt.

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
            self._last_read_failed = False
            return response
        self._last_read_failed = True
        return missing.Unavailable(reason, self._url(path))

    def long_poll(
        self, path: str, timeout: clock.Ms
    ) -> Response | missing.Unavailable:
        """Send a GET request that the platform may hold back.

        It is sent only once: a second attempt would wait as long again.

        :param path: path and query.
        :param timeout: ms, longer than the platform may hold it back.
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

        It is never retried here, since only the caller knows whether that
        is safe.

        :param method: HTTP method.
        :param path: path and query.
        :param body: request body.
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
        return response if response.status < 500 else _failure(response, where)

    def _attempt_timeouts(self) -> tuple[clock.Ms, ...]:
        if self._last_read_failed:
            # Connections of before were discarded, and a second call of each
            # daemon would only add to the calls of an outage.
            return (self._timeout,)
        short = self._timeout // _FIRST_ATTEMPT_DIVISOR
        # A short first attempt would only add to the load of a slow store.
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
        # The library's timeout applies to each receive call: a response that
        # arrives byte by byte would block its caller indefinitely.
        deadline = self._clock.now() + timeout
        body = bytearray()
        while chunk := response.read1(_CHUNK_BYTES):
            body += chunk
            is_late = self._clock.now() > deadline
            if is_late or len(body) > MAX_RESPONSE_BYTES:
                response.close()
                problem = "takes too long" if is_late else "is too large"
                raise urllib3.exceptions.ResponseError(
                    f"the response {problem}"
                )
        return bytes(body)

    def _new_pool(self) -> pools.ConnectionPool:
        host, _, port = self.address.rpartition(":")
        return pools.ConnectionPool(
            host, int(port), maxsize=MAX_CONNECTIONS, block=True
        )

    def _drop_pool(self) -> None:
        self._pool.close()
        self._pool = self._new_pool()
        self._last_used_at = self._clock.now()

    def _url(self, path: str) -> str:
        return f"http://{self.address}{path}"


def _failure(
    response: Response, where: str
) -> missing.Unavailable | missing.AnswerLost:
    # Only an error body of the platform itself proves that nothing was done:
    # a load balancer may answer 503 after the write has taken effect.
    try:
        error = msgspec.json.decode(response.body, type=ErrorBody)
    except decoding.ERRORS:
        error = ErrorBody(f"status {response.status}")
    if error.done:
        return missing.AnswerLost(error.reason, where)
    return missing.Unavailable(error.reason, where)
