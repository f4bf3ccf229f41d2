"""Refusals: what a caller gets instead of an answer."""

import enum
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import ran


class RefusalKind(enum.StrEnum):
    """Why a request has no answer; the values are part of the interface."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    UNKNOWN_TOKEN = "unknown-token"
    NOT_FOUND = "not-found"
    KEY_REUSED = "key-reused"
    IN_PROGRESS = "in-progress"
    OVER_LIMIT = "over-limit"
    NO_TIME = "no-time"
    NO_UPSTREAM = "no-upstream"
    NO_MEMORY = "no-memory"
    FENCED_OFF = "fenced-off"
    STOPPING = "stopping"
    RECORD_UNAVAILABLE = "record-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    UPSTREAM_FAILED = "upstream-failed"
    DEADLINE_PASSED = "deadline-passed"
    #: Only logged: the caller has closed the connection.
    CALLER_LEFT = "caller-left"


STATUS_BY_KIND: dict[RefusalKind, int] = {
    RefusalKind.MALFORMED: 400,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.TOO_SLOW: 408,
    RefusalKind.UNKNOWN_TOKEN: 401,
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.KEY_REUSED: 422,
    RefusalKind.IN_PROGRESS: 409,
    RefusalKind.OVER_LIMIT: 429,
    RefusalKind.NO_TIME: 503,
    RefusalKind.NO_UPSTREAM: 503,
    RefusalKind.NO_MEMORY: 503,
    RefusalKind.FENCED_OFF: 422,
    RefusalKind.STOPPING: 503,
    RefusalKind.RECORD_UNAVAILABLE: 503,
    RefusalKind.OUTCOME_UNKNOWN: 502,
    RefusalKind.UPSTREAM_FAILED: 502,
    RefusalKind.DEADLINE_PASSED: 504,
    RefusalKind.CALLER_LEFT: 400,
}


# The field ``ran`` shadows the module of that name in the class body.
_Ran = ran.Ran


class Refusal(NamedTuple):
    """One refusal with its explanation.

    ``retry_after`` is ms from the response, or 0 if a retry won't help.
    ``facts`` are names and values for the log that it is based on.
    """

    kind: RefusalKind
    detail: str
    remedy: str
    ran: _Ran = _Ran.NO
    retry_after: clock.Ms = 0
    facts: tuple[tuple[str, str | float | None], ...] = ()

    @property
    def status(self) -> int:
        """Return the HTTP status for this kind."""
        return STATUS_BY_KIND[self.kind]
