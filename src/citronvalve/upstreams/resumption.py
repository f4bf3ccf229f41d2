"""Decides whether and where a failed stream is resumed."""

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.upstreams import assembler
from citronvalve.upstreams import failure
from citronvalve.upstreams import nextattempt

#: Limit of consecutive resumes without new text.  When an upstream is lost
#: at full load, one resume finds another upstream and the second a slot
#: there.  A higher limit would turn each loss into a burst on the others.
MAX_FRUITLESS_RESUMES = 3

#: Limit of resumes of one answer.  An engine that fails after each token
#: makes progress each time, and would otherwise get one attempt per token
#: until the deadline.
MAX_RESUMES = 8


class Resumption:
    """Tracks the resumes of one answer.

    :param answer: the answer that is being assembled.
    :param deadline: deadline of the answer, in monotonic ms.
    """

    def __init__(
        self, answer: assembler.Assembler, deadline: clock.Ms
    ) -> None:
        self._answer = answer
        self._deadline = deadline
        self._resumes = 0
        self._fruitless_resumes = 0
        self._last_offset = 0
        self._excluded: list[str] = []
        self._avoided: list[str] = []

    def decide(
        self, cause: failure.Failure, upstream: str, now: clock.Ms
    ) -> nextattempt.NextAttempt | refusal.Refusal | None:
        """Decide how to proceed after a failure.

        :param cause: the failure.
        :param upstream: name of the upstream that failed.
        :param now: monotonic time in ms.
        :return: the next attempt, the refusal that ends the answer, or
            None to continue reading.
        """
        if cause.recovery is failure.Recovery.IGNORE:
            return None
        self._skip_upstream(cause.recovery, upstream)
        self._count_resume()
        if now >= self._deadline:
            return self._refusal(refusal.RefusalKind.DEADLINE_PASSED, cause)
        if (
            self._resumes > MAX_RESUMES
            or self._fruitless_resumes > MAX_FRUITLESS_RESUMES
        ):
            return self._refusal(refusal.RefusalKind.UPSTREAM_FAILED, cause)
        return nextattempt.NextAttempt(
            self._answer.resume_at, tuple(self._excluded), tuple(self._avoided)
        )

    def _skip_upstream(
        self, recovery: failure.Recovery, upstream: str
    ) -> None:
        skipped = (
            self._excluded
            if recovery is failure.Recovery.RESUME_ELSEWHERE
            else self._avoided
        )
        if upstream not in skipped:
            skipped.append(upstream)

    def _count_resume(self) -> None:
        progressed = self._answer.offset > self._last_offset
        self._last_offset = self._answer.offset
        self._fruitless_resumes = (
            1 if progressed else self._fruitless_resumes + 1
        )
        self._resumes += 1

    def _refusal(
        self, kind: refusal.RefusalKind, cause: failure.Failure
    ) -> refusal.Refusal:
        # Relayed text was generated, so "no" would be false.  Generating
        # an answer again does no harm.
        return refusal.Refusal(
            kind,
            f"the answer broke off after {self._answer.offset} characters"
            f" ({cause.kind}: {cause.reason})",
            "discard the streamed text and send the request again",
            ran.Ran.YES if self._answer.offset else ran.Ran.UNKNOWN,
        )
