"""A caller's complete request."""

from typing import NamedTuple

from citronvalve.forward import headers as headers_
from citronvalve.model import clock


class CallerRequest(NamedTuple):
    """``target`` is path and query as sent; ``arrived_at`` monotonic ms."""

    method: bytes
    target: bytes
    headers: list[headers_.Header]
    body: bytes
    arrived_at: clock.Ms

    @property
    def host(self) -> str:
        """Return the host without a port, in lower case."""
        host = headers_.value(self.headers, b"host").decode("latin-1")
        return host.partition(":")[0].lower()

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or no bytes.

        :param name: in lower case.
        """
        return headers_.value(self.headers, name)
