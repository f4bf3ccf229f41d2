"""Failures of upstream calls and streams, and how to recover."""

import enum

from citronvalve.model import missing


class FailureKind(enum.StrEnum):
    """What is wrong with a piece, a stream or a call."""

    #: The piece belongs to another request.
    STRAY = "stray"
    #: Text before the piece is missing.
    GAP = "gap"
    #: The piece contradicts text that was already relayed.
    DIVERGED = "diverged"
    #: The piece came after the end of the answer.
    LATE = "late"
    #: The data could not be decoded as a piece.
    MALFORMED = "malformed"
    #: The connection ended before the answer was complete.
    BROKEN = "broken"
    #: The connection is open but idle, without even heartbeats.
    SILENT = "silent"
    #: No connection was established, so nothing was sent.
    UNREACHED = "unreached"
    #: The same, and nothing refused it: it was not opened in time.
    NOT_OPENED = "not-opened"
    #: The upstream reported that it did not run the request.
    REFUSED = "refused"


class Recovery(enum.StrEnum):
    """What the reader of a stream does after a failure."""

    IGNORE = "ignore"
    #: Close the connection; get the rest from any upstream.
    RESUME = "resume"
    #: Close the connection; get the rest from another upstream.
    RESUME_ELSEWHERE = "resume-elsewhere"


#: Stray and late pieces are ignored: if the engine sent one in place of a
#: piece of this answer, the next piece reveals the gap.  An engine whose
#: text diverged would diverge again, so it is not used a second time.
RECOVERY_BY_KIND: dict[FailureKind, Recovery] = {
    FailureKind.STRAY: Recovery.IGNORE,
    FailureKind.GAP: Recovery.RESUME,
    FailureKind.DIVERGED: Recovery.RESUME_ELSEWHERE,
    FailureKind.LATE: Recovery.IGNORE,
    FailureKind.MALFORMED: Recovery.RESUME,
    FailureKind.BROKEN: Recovery.RESUME,
    FailureKind.SILENT: Recovery.RESUME,
    FailureKind.UNREACHED: Recovery.RESUME,
    FailureKind.NOT_OPENED: Recovery.RESUME,
    FailureKind.REFUSED: Recovery.RESUME,
}

#: The only kinds that prove that the request did not run.
NOT_RUN = frozenset(
    {FailureKind.UNREACHED, FailureKind.NOT_OPENED, FailureKind.REFUSED}
)


class Failure(missing.Missing):
    """Value returned in place of text or a response.

    :param kind: what is wrong.
    :param reason: details, with the offending values.
    :param where: the request or the upstream's address.
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
