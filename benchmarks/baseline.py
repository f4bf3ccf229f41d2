"""The plain way: random placement, no queue, no refusal, endless retries.

Work waits in the upstreams, first in, first out.
"""

import random

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load
from citronvalve.policy import crashfence
from citronvalve.policy import decision
from citronvalve.policy import fleet
from citronvalve.policy import limits
from citronvalve.policy import outcome
from citronvalve.policy import work


class Baseline:
    """Answers to the same calls as the dispatcher.

    :param rng: source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._upstreams: list[str] = []
        self._start_by_ticket: dict[int, decision.Start] = {}
        self._last = 0

    def apply_table(self, table: declared.Declared, now: clock.Ms) -> None:
        out = {
            name
            for name, row in table.datacentre_by_name.items()
            if row.state is declared.ServiceState.OUT
        }
        rows = table.upstream_by_name.values()
        self._upstreams = [r.name for r in rows if r.datacentre not in out]

    def submit(self, item: work.Work, now: clock.Ms) -> decision.Verdict:
        return self._start(item, 1)

    def finished(
        self, ticket: int, how: outcome.Outcome, now: clock.Ms
    ) -> tuple[decision.Decision, ...]:
        old = self._start_by_ticket.pop(ticket)
        if how not in outcome.UNANSWERED:
            return ()
        return (self._start(old.work, old.attempt + 1),)

    def tick(self, now: clock.Ms) -> tuple[decision.Decision, ...]:
        return ()

    def observe(self, report: load.LoadReport, now: clock.Ms) -> None:
        pass

    def set_share(self, share: limits.Share, now: clock.Ms) -> None:
        pass

    def accept_loan(
        self, upstream: str, slots: int, until: clock.Ms, now: clock.Ms
    ) -> None:
        pass

    def needed_loans(self, now: clock.Ms) -> tuple[fleet.LoanRequest, ...]:
        return ()

    def recent_losses(self, now: clock.Ms) -> tuple[crashfence.Loss, ...]:
        return ()

    def record_remote_loss(self, loss: crashfence.Loss, now: clock.Ms) -> None:
        pass

    def _start(self, item: work.Work, attempt: int) -> decision.Start:
        self._last += 1
        upstream = self._rng.choice(self._upstreams)
        begun = decision.Start(self._last, item, upstream, attempt, 0)
        self._start_by_ticket[self._last] = begun
        return begun
