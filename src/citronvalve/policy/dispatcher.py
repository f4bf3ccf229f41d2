"""The entry point for all load-dependent decisions of a daemon."""

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
from citronvalve.policy import upstreamlimits
from citronvalve.policy import work

_Decisions = tuple[decision.Decision, ...]


class Dispatcher:
    """Decides on admission, queueing, placement and retries.

    The daemon calls ``submit`` for each request, ``finished`` for each
    attempt that ended and ``tick`` every 50 ms or so, and carries out the
    decisions that these return.  ``apply_table``, ``observe``,
    ``accept_loan`` and ``set_share`` update the table, load reports, loans
    and the number of daemons; requests that can start as a result do so at
    the next tick.

    :param home: this daemon's data centre.
    :param rng: random source.
    :param invariants: checks the invariants and counts the checks.
    :param chooser: the placement strategy; ``TwoChoices`` by default.
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

        :param table: the whole table.
        :param now: monotonic ms.
        :param grouped: upstreams of replica groups.
        """
        self.monitor.switches = table.switches
        self._requests.weight_by_team = {
            name: team.weight for name, team in table.team_by_name.items()
        }
        self.limits.set_limits(table.limit_by_key)
        self.fleet.apply_table(table, grouped, now)

    def set_share(self, share: limits.Share, now: clock.Ms) -> None:
        """Set this daemon's rank among those that use the same upstreams.

        :param share: its rank and their number.
        :param now: monotonic ms.
        """
        self.limits.set_share(share)
        self.fleet.set_share(share, now)

    def submit(self, item: work.Work, now: clock.Ms) -> decision.Verdict:
        """Decide on a new request.

        :param item: the request.
        :param now: monotonic ms.
        """
        return self._requests.submit(item, now)

    def finished(
        self, ticket: decision.Ticket, how: outcome.Outcome, now: clock.Ms
    ) -> _Decisions:
        """Record the end of an attempt; required once for each ticket.

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
        """End a request whose caller has left.

        :param request: its id; one that has ended is ignored.
        :param now: monotonic ms.
        """
        self._requests.cancel(request, now)
        return self._requests.take_decisions()

    def tick(self, now: clock.Ms) -> _Decisions:
        """Do what is due at a time.

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
        """Apply a load report.

        :param report: the report.
        :param now: monotonic ms.
        """
        self.fleet.observe(report, now)
        self.monitor.handle_report(report.upstream, now)

    def record_rate(self, upstream: str, rate: float, now: clock.Ms) -> bool:
        """Record the rate that an answer names; return whether it is new.

        :param upstream: name of the upstream.
        :param rate: requests per second that it takes from all daemons.
        :param now: monotonic ms.
        """
        limit = upstreamlimits.Limit(rate, now, now)
        return self.fleet.rates.record(upstream, limit)

    def record_no_rate(self, upstream: str, sent_at: clock.Ms) -> bool:
        """Record an answer without a rate; return whether that ended a limit.

        :param upstream: name of the upstream.
        :param sent_at: monotonic ms at which its request was sent.
        """
        return self.fleet.rates.record_end(upstream, sent_at) is not None

    def record_rest(
        self, upstream: str, duration: float, now: clock.Ms
    ) -> bool:
        """Record how long an upstream wants no request from this daemon.

        :param upstream: name of the upstream.
        :param duration: ms.
        :param now: monotonic ms.
        :returns: whether no rest was under way.
        """
        return self.fleet.record_rest(upstream, duration, now)

    def record_leaving(self, upstream: str, now: clock.Ms) -> bool:
        """Record that an upstream leaves; return whether that is new.

        :param upstream: name of the upstream.
        :param now: monotonic ms.
        """
        return self.fleet.record_leaving(upstream, now)

    def accept_loan(
        self, upstream: str, slots: int, expires_at: clock.Ms, now: clock.Ms
    ) -> None:
        """Use a loan of a cold upstream's slots.

        :param upstream: its name.
        :param slots: requests in progress that it allows here.
        :param expires_at: when it expires, in monotonic ms.
        :param now: monotonic ms.
        """
        self.fleet.accept_loan(upstream, slots, expires_at, now)

    def needed_loans(self, now: clock.Ms) -> tuple[fleet.LoanRequest, ...]:
        """Return the cold upstreams that need a loan.

        :param now: monotonic ms.
        """
        return self.fleet.needed_loans(now)

    def warm_slots(self, upstream: str, start_id: str, now: clock.Ms) -> int:
        """Return an upstream's slots if this daemon sees it as warm, or 0.

        :param upstream: its name.
        :param start_id: the start in question.
        :param now: monotonic ms.
        """
        return self.fleet.warm_slots(upstream, start_id, now)

    def open_request_count(self) -> int:
        """Return the number of accepted requests that have not ended."""
        return len(self._requests)

    def recent_losses(self, now: clock.Ms) -> tuple[crashfence.Loss, ...]:
        """Return the losses of upstreams to send to peers.

        :param now: monotonic ms.
        """
        span = self.monitor.switches.fence_for
        return (
            *self.monitor.fence.recent_losses(now, span),
            *self.monitor.beginnings.recent_losses(now, span),
        )

    def record_remote_loss(self, loss: crashfence.Loss, now: clock.Ms) -> None:
        """Record a loss that a peer reported.

        :param loss: the peer's report.
        :param now: monotonic ms.
        """
        self.monitor.record_remote_loss(loss, now)
