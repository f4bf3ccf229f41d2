"""One HTTP client of the platform, which says whether a write was sent."""

from typing import NamedTuple

import msgspec
import urllib3

from citronvalve.model import clock
from citronvalve.model import missing

#: An answer above this is refused, so that a broken platform can't fill a
#: daemon's memory.  A whole table of 12,000 rows takes about 4 MB.
LARGEST_ANSWER = 32 * 1024 * 1024

#: Connections kept and used at once; further callers wait for one.
CONNECTIONS = 8

#: A connection unused for so long may have been forgotten by something
#: between the two ends; a write on it would be lost in silence.
IDLE: clock.Ms = 30_000

#: Bytes taken from a connection at once.
_PIECE = 256 * 1024

#: The first try of a read gets this part of the timeout, the second, on a
#: new connection, the rest: a connection gone silent is found soon, and a
#: store that is slow for long is still given most of the time.
_FIRST_SHARE = 4

_UNSENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class Answer(NamedTuple):
    """The status and the whole body of an answer."""

    status: int
    body: bytes


class Refused(msgspec.Struct):
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
        now: clock.Clock | None = None,
        undone: frozenset[int] = frozenset(),
    ) -> None:
        self.address = address
        self._undone = undone
        self._timeout = timeout
        self._clock = now or clock.SystemClock()
        self._used_at = self._clock.now()
        self._took: clock.Ms = 0
        self._pool = self._new_pool()

    def read(self, path: str) -> Answer | missing.Unavailable:
        """Ask for something; a failure leaves nothing changed.

        :param path: path and query.
        """
        reason = ""
        for share in self._shares():
            began = self._clock.now()
            try:
                answer = self._call("GET", path, None, share)
            except (urllib3.exceptions.HTTPError, OSError) as error:
                reason = str(error)
                self._drop_pool()
                continue
            self._took = self._clock.now() - began
            return answer
        return missing.Unavailable(reason, self._where(path))

    def wait_read(
        self, path: str, timeout: clock.Ms
    ) -> Answer | missing.Unavailable:
        """Ask once for something that the other side may hold back.

        A second try would only wait as long again.

        :param path: path and query.
        :param timeout: ms, more than the other side may hold it back.
        """
        try:
            return self._call("GET", path, None, timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._drop_pool()
            return missing.Unavailable(str(error), self._where(path))

    def write(
        self, method: str, path: str, body: bytes
    ) -> Answer | missing.Unavailable | missing.AnswerLost:
        """Send a write once.

        It is never sent again from here: whether that is safe is known
        only to the caller.

        :param method: HTTP method.
        :param path: path and query.
        :param body: the content.
        """
        where = self._where(path)
        try:
            answer = self._call(method, path, body, self._timeout)
        except _UNSENT as error:
            return missing.Unavailable(str(error), where)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._drop_pool()
            return missing.AnswerLost(str(error), where)
        if answer.status in self._undone:
            return missing.Unavailable(f"status {answer.status}", where)
        return answer if answer.status < 500 else _failed(answer, where)

    def _shares(self) -> tuple[clock.Ms, clock.Ms]:
        short = self._timeout // _FIRST_SHARE
        # While the store is slow the short try would only add to its load.
        if self._took > short:
            return self._timeout - short, short
        return short, self._timeout - short

    def _call(
        self, method: str, path: str, body: bytes | None, timeout: clock.Ms
    ) -> Answer:
        if self._clock.now() - self._used_at > IDLE:
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
        content = self._content(response, timeout)
        response.release_conn()
        self._used_at = self._clock.now()
        return Answer(response.status, content)

    def _content(
        self, response: urllib3.BaseHTTPResponse, timeout: clock.Ms
    ) -> bytes:
        # The library's timeout is that of one receive: an answer that drips
        # would hold its caller for ever.
        until = self._clock.now() + timeout
        content = bytearray()
        while piece := response.read1(_PIECE):
            content += piece
            late = self._clock.now() > until
            if late or len(content) > LARGEST_ANSWER:
                response.close()
                why = "takes too long" if late else "is too large"
                raise urllib3.exceptions.ResponseError(f"the answer {why}")
        return bytes(content)

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        host, _, port = self.address.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=CONNECTIONS, block=True
        )

    def _drop_pool(self) -> None:
        self._pool.close()
        self._pool = self._new_pool()
        self._used_at = self._clock.now()

    def _where(self, path: str) -> str:
        return f"http://{self.address}{path}"


def _failed(
    answer: Answer, where: str
) -> missing.Unavailable | missing.AnswerLost:
    # Only the platform's own word that nothing was done counts: a balancer
    # in between may answer 503 after the write has taken effect.
    try:
        refused = msgspec.json.decode(answer.body, type=Refused)
    except msgspec.MsgspecError:
        refused = Refused(f"status {answer.status}")
    if refused.done:
        return missing.AnswerLost(refused.reason, where)
    return missing.Unavailable(refused.reason, where)
