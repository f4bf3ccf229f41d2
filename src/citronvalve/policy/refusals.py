"""The refusals that the decisions give, with their remedies."""

import random

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import attempt
from citronvalve.policy import comeback

_REMEDY_BY_KIND: dict[refusal.RefusalKind, str] = {
    refusal.RefusalKind.NO_TIME: "come back later, or allow more time",
    refusal.RefusalKind.OVER_LIMIT: (
        "come back later, or ask the operators for a higher limit"
    ),
    refusal.RefusalKind.NO_UPSTREAM: (
        "come back later; operators see the reason in the status"
    ),
    refusal.RefusalKind.FENCED_OFF: (
        "do not send it again; report it to the operators"
    ),
    refusal.RefusalKind.UPSTREAM_FAILED: (
        "send it again, unless it may have run and must run once"
    ),
    refusal.RefusalKind.DEADLINE_PASSED: "allow more time",
}


class Refusals:
    """Builds refusals; each tells when to come back, spread by chance.

    :param rng: source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def give(
        self,
        kind: refusal.RefusalKind,
        detail: str,
        excess: clock.Ms = 0,
        has_run: ran.Ran = ran.Ran.NO,
    ) -> refusal.Refusal:
        """Return a refusal.

        :param kind: why.
        :param detail: what was seen.
        :param excess: ms by which the work would have been late.
        :param has_run: whether it was run.
        """
        return refusal.Refusal(
            kind,
            detail,
            _REMEDY_BY_KIND[kind],
            has_run,
            comeback.after(excess, self._rng),
        )

    def late(
        self,
        entry: attempt.Entry,
        now: clock.Ms,
        wait: clock.Ms = 0,
        kind: refusal.RefusalKind = refusal.RefusalKind.NO_TIME,
    ) -> refusal.Refusal:
        """Return the refusal of work that can't be done in time.

        :param entry: the request.
        :param now: monotonic ms.
        :param wait: ms that it would wait first.
        :param kind: why it can't.
        """
        deadline = entry.work.deadline
        late = now + wait + entry.expected.bound - deadline
        if deadline <= now:
            kind = refusal.RefusalKind.DEADLINE_PASSED
        detail = f"it would be done {late} ms after its deadline"
        return self.give(kind, detail, late, entry.ran)
