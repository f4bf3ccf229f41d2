"""Streamed response body that logs its outcome."""

from collections.abc import Iterator

from citronvalve.entry import broken
from citronvalve.entry import requestlog
from citronvalve.entry import response as responses

_CALLER_LEFT = "caller-left"


class StreamBody:
    """WSGI iterable; the server closes it when the caller disconnects.

    :param chunks: the encoded body.
    :param log: the request's log line.
    """

    def __init__(
        self, chunks: Iterator[bytes], log: requestlog.RequestLog
    ) -> None:
        self._chunks = chunks
        self._log = log

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._chunks
        except broken.AnswerBroken as error:
            self._log.end(error.reason)
            raise
        self._log.end(responses.WHOLE)

    def close(self) -> None:
        """Release the upstream and log the end of the request."""
        self._chunks.close()
        self._log.end(_CALLER_LEFT)
