"""The HTTP response of a plain service."""

from typing import NamedTuple


class Response(NamedTuple):
    """A response, replayed byte for byte when the request is repeated."""

    status: int
    content_type: str
    body: bytes
