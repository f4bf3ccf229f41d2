"""HTTP responses as handlers return them."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.entry import problem
from citronvalve.model import refusal

OK = "200 OK"
JSON = "application/json"
EVENTS = "text/event-stream"

#: Outcome of a complete response in logs and metrics.
WHOLE = "whole"


class Response(NamedTuple):
    """Status line, headers and body; ``outcome`` is for logs and metrics.

    The outcome of a streamed body is known only at its end.
    """

    status: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    outcome: str
    streamed: bool = False


def from_refusal(refused: refusal.Refusal, request: str) -> Response:
    """Return the response for a refusal.

    :param refused: the refusal.
    :param request: the request's id.
    """
    body = problem.body(refused, request)
    headers = [*problem.headers(refused), ("Content-Length", str(len(body)))]
    return Response(
        problem.status_line(refused), headers, [body], str(refused.kind)
    )


def from_body(
    body: bytes, content_type: str = JSON, status: str = OK
) -> Response:
    """Return a complete response.

    :param body: the body.
    :param content_type: the body's media type.
    :param status: the status line.
    """
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    ]
    return Response(status, headers, [body], WHOLE)
