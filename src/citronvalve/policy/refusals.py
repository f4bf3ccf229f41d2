"""Refusals of requests, with their details and remedies."""

import math
import random

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import attempt
from citronvalve.policy import outcome
from citronvalve.policy import retryafter

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
    """Builds refusals, each with a randomized retry delay.

    :param rng: random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def build(
        self,
        kind: refusal.RefusalKind,
        detail: str,
        excess: clock.Ms = 0,
        has_run: ran.Ran = ran.Ran.NO,
    ) -> refusal.Refusal:
        """Return a refusal of any kind.

        :param kind: its kind.
        :param detail: the cause.
        :param excess: ms by which the request would have been late.
        :param has_run: whether the request ran.
        """
        return refusal.Refusal(
            kind,
            detail,
            _REMEDY_BY_KIND[kind],
            has_run,
            retryafter.retry_after(excess, self._rng),
        )

    def late(
        self,
        entry: attempt.Entry,
        now: clock.Ms,
        wait: clock.Ms = 0,
        kind: refusal.RefusalKind = refusal.RefusalKind.NO_TIME,
    ) -> refusal.Refusal:
        """Return the refusal of a request that would miss its deadline.

        :param entry: the request.
        :param now: monotonic ms.
        :param wait: predicted wait in ms.
        :param kind: the cause, unless the deadline has passed.
        """
        deadline = entry.work.deadline
        late = now + wait + entry.expected.bound - deadline
        if deadline <= now:
            kind = refusal.RefusalKind.DEADLINE_PASSED
        detail = f"it would be done {late} ms after its deadline"
        return self.build(kind, detail, late, entry.ran)

    def failed(
        self,
        entry: attempt.Entry,
        how: outcome.Outcome,
        fenced: bool,
        now: clock.Ms,
    ) -> refusal.Refusal:
        """Return the refusal of a request whose last attempt failed.

        :param entry: the request.
        :param how: how the attempt ended.
        :param fenced: whether the request has crashed too many upstreams.
        :param now: monotonic ms.
        """
        if not fenced and entry.would_be_late(now):
            # No further attempt can finish before the deadline.
            passed = refusal.RefusalKind.DEADLINE_PASSED
            return self.late(entry, now, 0, passed)
        kind = refusal.RefusalKind.UPSTREAM_FAILED
        if fenced:
            kind = refusal.RefusalKind.FENCED_OFF
        detail = f"attempt {entry.attempts} ended: {how.value}"
        return self.build(kind, detail, has_run=entry.ran)

    def fenced(self) -> refusal.Refusal:
        """Return the refusal of a request that crashes upstreams."""
        detail = "upstreams were lost while running it"
        return self.build(refusal.RefusalKind.FENCED_OFF, detail)

    def no_upstream(
        self, entry: attempt.Entry, why: str, wait: float = math.inf
    ) -> refusal.Refusal:
        """Return the refusal of a request that no upstream can serve.

        :param entry: the request.
        :param why: why no upstream is available.
        :param wait: ms until a limited upstream takes one, infinite if
            there is none.
        """
        model = entry.work.model
        detail = f"no upstream of {model} is in service: {why}"
        kind = refusal.RefusalKind.NO_UPSTREAM
        refused = self.build(kind, detail, has_run=entry.ran)
        if math.isinf(wait):
            return refused
        # A caller that comes back sooner finds the same.
        at_least = max(refused.retry_after, math.ceil(wait))
        return refused._replace(retry_after=at_least)
