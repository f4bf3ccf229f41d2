"""Refusals as ``application/problem+json``."""

import msgspec

from citronvalve.model import clock
from citronvalve.model import refusal

CONTENT_TYPE = "application/problem+json"

_PHRASE_BY_STATUS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def body(refused: refusal.Refusal, request: str) -> bytes:
    """Return the body of a refusal.

    :param refused: the refusal.
    :param request: the request's id.
    """
    return msgspec.json.encode(
        {
            "type": f"urn:citronvalve:{refused.kind}",
            "title": _PHRASE_BY_STATUS[refused.status],
            "status": refused.status,
            "detail": refused.detail,
            "remedy": refused.remedy,
            "ran": refused.ran,
            "retry_after_ms": refused.retry_after,
            "request": request,
        }
    )


def status_line(refused: refusal.Refusal) -> str:
    """Return the HTTP status line of a refusal.

    :param refused: the refusal.
    """
    return f"{refused.status} {_PHRASE_BY_STATUS[refused.status]}"


def headers(refused: refusal.Refusal) -> list[tuple[str, str]]:
    """Return the headers of a refusal.

    :param refused: the refusal.
    """
    header_list = [("Content-Type", CONTENT_TYPE)]
    if refused.retry_after:
        # The header is in whole seconds; rounding down would make callers
        # retry before a slot is free.
        seconds = -(-refused.retry_after // clock.SECOND)
        header_list.append(("Retry-After", str(seconds)))
    return header_list
