"""Decides how an answer goes on after its stream broke."""

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.upstreams import assembler
from citronvalve.upstreams import failure
from citronvalve.upstreams import nextattempt

#: Resumes in a row that brought no text.  Made for an upstream lost at
#: full load: one resume finds another upstream, the second a slot there.
#: More of them would turn each lost upstream into a burst on the others.
MAX_FRUITLESS_RESUMES = 3

#: Resumes of one answer in all.  An engine that breaks after each token
#: makes progress each time, and would otherwise be asked once a token
#: until the deadline.
MAX_RESUMES = 8


class Resumption:
    """The resumes of one answer so far.

    :param answer: the answer that is put together.
    :param deadline: monotonic time in ms that the answer is due by.
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
        """Decide what follows a piece that was not passed on.

        :param wrong: the trouble.
        :param upstream: name of the upstream that it came from.
        :param now: monotonic time in ms.
        :return: whom to ask for the rest, why the caller gets no whole
            answer, or None to go on reading.
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
        # What was relayed was generated, so that "no" would be untrue; an
        # answer of a model may be asked for again.
        return refusal.Refusal(
            kind,
            f"the answer broke off at {self._answer.offset} characters"
            f" ({cause.kind}: {cause.reason})",
            "drop what was streamed and send the request again",
            ran.Ran.YES if self._answer.offset else ran.Ran.UNKNOWN,
        )
