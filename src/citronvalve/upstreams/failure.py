"""Why a piece of an answer was not passed on, and what to do about it."""

import enum

from citronvalve.model import missing


class FailureKind(enum.StrEnum):
    """What is wrong with a piece."""

    #: It belongs to another request.
    STRAY = "stray"
    #: Text before it never came.
    GAP = "gap"
    #: It contradicts text that the caller already has.
    DIVERGED = "diverged"
    #: It came after the end of the answer.
    LATE = "late"
    #: It could not be read as a piece.
    MALFORMED = "malformed"
    #: The connection ended before the last piece.
    BROKEN = "broken"
    #: The connection is open and says nothing, not even heartbeats.
    SILENT = "silent"
    #: No connection was made, so that nothing was sent.
    UNREACHED = "unreached"
    #: The upstream said that it did not run the request.
    REFUSED = "refused"


class Recovery(enum.StrEnum):
    """What the reader of a stream does next."""

    IGNORE = "ignore"
    #: Drop the connection; ask any upstream for the rest.
    RESUME = "resume"
    #: Drop the connection; ask another upstream for the rest.
    RESUME_ELSEWHERE = "resume-elsewhere"


#: A stray or late piece takes nothing from this answer: if the engine sent
#: it in place of one of ours, the next one shows the gap.  An engine that
#: contradicts itself would do so again, so it is not asked a second time.
RECOVERY_BY_KIND: dict[FailureKind, Recovery] = {
    FailureKind.STRAY: Recovery.IGNORE,
    FailureKind.GAP: Recovery.RESUME,
    FailureKind.DIVERGED: Recovery.RESUME_ELSEWHERE,
    FailureKind.LATE: Recovery.IGNORE,
    FailureKind.MALFORMED: Recovery.RESUME,
    FailureKind.BROKEN: Recovery.RESUME,
    FailureKind.SILENT: Recovery.RESUME,
    FailureKind.UNREACHED: Recovery.RESUME,
    FailureKind.REFUSED: Recovery.RESUME,
}

#: The only two that prove that the request did not run.
NOT_RUN = frozenset({FailureKind.UNREACHED, FailureKind.REFUSED})


class Failure(missing.Missing):
    """Nothing of this piece may reach the caller.

    :param kind: what is wrong.
    :param reason: the values seen.
    :param where: the request whose answer it is.
    """

    __slots__ = ("kind",)

    def __init__(
        self, kind: FailureKind, reason: str, where: str = ""
    ) -> None:
        super().__init__(reason, where)
        self.kind = kind

    @property
    def recovery(self) -> Recovery:
        """Return what the reader of the stream does next."""
        return RECOVERY_BY_KIND[self.kind]
