"""Refusals as bytes of an answer."""

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
    """Return the answer for a refusal.

    :param refused: why there is no answer.
    :param request: the caller's id of it.
    """
    head = [(b"content-type", problem.CONTENT_TYPE.encode())]
    if refused.retry_after:
        # Callers here read fractions; a whole second would keep those away
        # for whom there is room in 200 ms.
        seconds = max(refused.retry_after, 1) / clock.SECOND
        head.append((b"retry-after", b"%.3f" % seconds))
    return Rendered(refused.status, head, problem.body(refused, request_id))


def for_malformed(status: int, why: str) -> Rendered:
    """Return the answer for bytes that are no request.

    :param status: the parser's hint.
    :param why: what is wrong with them.
    """
    kind = _KIND_BY_STATUS.get(status, refusal.RefusalKind.MALFORMED)
    rendered = render(
        refusal.Refusal(kind, why[:200], "send a proper request"), ""
    )
    return rendered._replace(status=status)
