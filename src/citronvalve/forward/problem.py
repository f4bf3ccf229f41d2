"""Refusals rendered as responses."""

from typing import NamedTuple

from citronvalve.entry import problem
from citronvalve.forward import headers
from citronvalve.model import clock
from citronvalve.model import refusal

_KIND_BY_STATUS = {
    413: refusal.RefusalKind.TOO_LARGE,
    431: refusal.RefusalKind.TOO_LARGE,
}


class Rendered(NamedTuple):
    """A refusal, ready to be sent."""

    status: int
    headers: list[headers.Header]
    body: bytes


def render(refused: refusal.Refusal, request_id: str) -> Rendered:
    """Return the response for a refusal.

    :param refused: the refusal.
    :param request_id: the id of the refused request.
    """
    head = [(b"content-type", problem.CONTENT_TYPE.encode())]
    if refused.retry_after:
        # Callers accept fractions; a full second would delay a retry that
        # has room after 200 ms.
        seconds = max(refused.retry_after, 1) / clock.SECOND
        head.append((b"retry-after", b"%.3f" % seconds))
    return Rendered(refused.status, head, problem.body(refused, request_id))


def for_malformed(status: int, why: str) -> Rendered:
    """Return the response to malformed input.

    :param status: the status that the parser suggests.
    :param why: the error, as text.
    """
    kind = _KIND_BY_STATUS.get(status, refusal.RefusalKind.MALFORMED)
    rendered = render(
        refusal.Refusal(kind, why[:200], "send a well-formed HTTP request"), ""
    )
    return rendered._replace(status=status)
