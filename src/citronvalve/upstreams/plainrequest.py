"""A call to a plain service, and its answer."""

from typing import NamedTuple

from citronvalve.model import clock


class PlainRequest(NamedTuple):
    """What is passed on; ``path`` holds the query too.

    ``fresh`` asks for a new connection: on a kept one that the other end
    has just closed, it can't be told whether a call arrived.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: clock.Ms
    new_connection: bool = False


class PlainResponse(NamedTuple):
    """The whole answer."""

    status: int
    content_type: str
    body: bytes
