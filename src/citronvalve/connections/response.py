"""Responses that are rejected where a line of theirs is cut."""

import http.client
from typing import Any
from typing import BinaryIO
from typing import cast


class _WholeLines:
    """A connection's file, of which each line that is read must be complete.

    :param file: the file.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        :param limit: most bytes to read; a longer line is returned in part.
        :raises http.client.RemoteDisconnected: when the connection ends
            before the line does.
        """
        line = self._file.readline(limit)
        if line.endswith(b"\n") or len(line) == limit:
            return line
        raise http.client.RemoteDisconnected(
            "the connection ended within the response"
        )

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class Response(http.client.HTTPResponse):
    """A response whose head, and whose chunks' heads, must be complete.

    The library takes the end of a connection for the end of a head: where no
    body is expected, or its length is in the part that is missing, such a
    response looks complete.  It reads heads by line, and bodies otherwise.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.fp = cast(Any, _WholeLines(self.fp))
