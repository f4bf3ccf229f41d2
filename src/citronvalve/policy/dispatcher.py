"""The one object that the daemon asks for every decision under load."""

import collections.abc
import random

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.policy import crashfence
from citronvalve.policy import decision
from citronvalve.policy import fleet
from citronvalve.policy import health
from citronvalve.policy import limits
from citronvalve.policy import outcome
from citronvalve.policy import placement
from citronvalve.policy import refusals
from citronvalve.policy import requests
from citronvalve.policy import starter
from citronvalve.policy import work

_Decisions = tuple[decision.Decision, ...]


class Dispatcher:
    """Admits, queues, refuses, places and retries; carries out nothing.

    The daemon calls ``submit`` for each request, ``finished`` for each
    attempt that ended, ``tick`` every 50 ms or so, and carries out what
    these return.  ``declare``, ``observe``, ``lend`` and ``divide`` bring
    the table, load reports, loans, and the number of daemons; work that
    these make possible starts at the next tick.

    :param home: this daemon's data centre.
    :param rng: source of chance.
    :param invariants: asserts and counts the promises.
    :param chooser: how to place; two choices when left out.
    """

    def __init__(
        self,
        home: str,
        rng: random.Random,
        invariants: invariant.Invariants,
        chooser: placement.Placement | None = None,
    ) -> None:
        self.fleet = fleet.Fleet(home)
        self.limits = limits.Limits()
        self.monitor = health.HealthMonitor(self.fleet)
        self._starter = starter.Starter(
            self.fleet,
            self.limits,
            self.monitor,
            chooser or placement.TwoChoices(placement.ROUND_TRIP_BY_TIER),
            rng,
            invariants,
        )
        self._requests = requests.Requests(
            self.fleet,
            self.limits,
            self.monitor,
            self._starter,
            refusals.Refusals(rng),
            invariants,
        )

    def apply_table(
        self,
        table: declared.Declared,
        now: clock.Ms,
        grouped: collections.abc.Iterable[declared.Upstream] = (),
    ) -> None:
        """Apply the table.

        :param table: the whole table at its newest version.
        :param now: monotonic ms.
        :param grouped: upstreams that replica groups made.
        """
        self.monitor.switches = table.switches
        self._requests.weight_by_team = {
            name: team.weight for name, team in table.team_by_name.items()
        }
        self.limits.set_limits(table.limit_by_key)
        self.fleet.apply_table(table, grouped, now)

    def set_share(self, share: limits.Share, now: clock.Ms) -> None:
        """Set this daemon's place among those that use the same upstreams.

        :param share: its rank and their number.
        :param now: monotonic ms.
        """
        self.limits.set_share(share)
        self.fleet.set_share(share, now)

    def submit(self, item: work.Work, now: clock.Ms) -> decision.Verdict:
        """Decide on a request that has just arrived.

        :param item: the request.
        :param now: monotonic ms.
        """
        return self._requests.submit(item, now)

    def finished(
        self, ticket: decision.Ticket, how: outcome.Outcome, now: clock.Ms
    ) -> _Decisions:
        """Take in the end of an attempt; each ticket must get one.

        :param ticket: the attempt.
        :param how: its outcome.
        :param now: monotonic ms.
        """
        ended = self._starter.end(ticket, now)
        if ended is not None:
            self.monitor.record_end(ended, how, now)
            self._starter.refresh_upstream(ended, now)
            self._requests.handle_end(ended, how, now)
            for model in ended.candidate.upstream.serves:
                self._requests.start_queued(model, now)
        return self._requests.take_decisions()

    def cancel(self, request: str, now: clock.Ms) -> _Decisions:
        """Drop a request whose caller has left.

        :param request: its id; one that has ended is ignored.
        :param now: monotonic ms.
        """
        self._requests.cancel(request, now)
        return self._requests.take_decisions()

    def tick(self, now: clock.Ms) -> _Decisions:
        """Let time pass.

        :param now: monotonic ms.
        """
        self.monitor.tick(now)
        self.fleet.tick(now)
        for late in self._starter.overdue(now):
            self.monitor.record_overdue(late, now)
            self._requests.hedge(late, now)
        self._requests.tick(now)
        return self._requests.take_decisions()

    def observe(self, report: load.LoadReport, now: clock.Ms) -> None:
        """Take in a load report.

        :param report: the report.
        :param now: monotonic ms.
        """
        self.fleet.observe(report, now)
        self.monitor.handle_report(report.upstream, now)

    def accept_loan(
        self, upstream: str, slots: int, expires_at: clock.Ms, now: clock.Ms
    ) -> None:
        """Take a loan of a cold upstream's slots.

        :param upstream: its name.
        :param slots: requests in progress that it allows here.
        :param until: monotonic ms at which it ends.
        :param now: monotonic ms.
        """
        self.fleet.accept_loan(upstream, slots, expires_at, now)

    def needed_loans(self, now: clock.Ms) -> tuple[fleet.LoanRequest, ...]:
        """Return the cold upstreams that this daemon needs loans of.

        :param now: monotonic ms.
        """
        return self.fleet.needed_loans(now)

    def warm_slots(self, upstream: str, start_id: str, now: clock.Ms) -> int:
        """Return the slots of an upstream that is warm, as seen here; else 0.

        :param upstream: its name.
        :param start_id: the start that is asked for.
        :param now: monotonic ms.
        """
        return self.fleet.warm_slots(upstream, start_id, now)

    def open_request_count(self) -> int:
        """Return how many accepted requests have not ended."""
        return len(self._requests)

    def recent_losses(self, now: clock.Ms) -> tuple[crashfence.Loss, ...]:
        """Return what peers should know of lost upstreams.

        :param now: monotonic ms.
        """
        return self.monitor.fence.recent_losses(
            now, self.monitor.switches.fence_for
        )

    def record_remote_loss(self, loss: crashfence.Loss, now: clock.Ms) -> None:
        """Take in a loss that a peer saw.

        :param loss: what it told.
        :param now: monotonic ms.
        """
        self.monitor.record_remote_loss(loss, now)
