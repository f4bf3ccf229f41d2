"""The answer of a plain service, as its caller got it."""

from typing import NamedTuple


class Response(NamedTuple):
    """What is replayed byte for byte when the request comes again."""

    status: int
    content_type: str
    body: bytes
