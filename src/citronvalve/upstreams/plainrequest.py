"""A request to a plain service, and its response."""

from typing import NamedTuple

from citronvalve.model import clock


class PlainRequest(NamedTuple):
    """The request to send; ``path`` includes the query.

    ``timeout`` bounds the whole exchange.  ``new_connection`` disables
    connection reuse: if the peer closes a reused connection, it is unknown
    whether the request arrived.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: clock.Ms
    new_connection: bool = False


class PlainResponse(NamedTuple):
    """A complete response."""

    status: int
    content_type: str
    body: bytes
