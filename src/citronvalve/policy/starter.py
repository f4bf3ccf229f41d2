"""Starts and ends attempts, and tracks those in progress."""

import collections
import heapq
import random

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.policy import attempt
from citronvalve.policy import candidate
from citronvalve.policy import decision
from citronvalve.policy import fleet
from citronvalve.policy import freeslots
from citronvalve.policy import health
from citronvalve.policy import limits
from citronvalve.policy import placement

#: An attempt is overdue after this many times its expected bound, and again
#: each time its duration has doubled.
_OVERDUE_RATIO = 2


class Starter:
    """Places requests, and accounts for their attempts until they end.

    :param upstreams: the fleet.
    :param caps: limits by team, model and data centre.
    :param monitor: tracks service times, caches and crashes.
    :param chooser: the placement strategy.
    :param rng: random source.
    :param invariants: checks the invariants.
    """

    def __init__(
        self,
        upstreams: fleet.Fleet,
        caps: limits.Limits,
        monitor: health.HealthMonitor,
        chooser: placement.Placement,
        rng: random.Random,
        invariants: invariant.Invariants,
    ) -> None:
        self._fleet = upstreams
        self._limits = caps
        self._monitor = monitor
        self._chooser = chooser
        self._rng = rng
        self._invariants = invariants
        self._last_ticket: decision.Ticket = 0
        self._attempt_by_ticket: dict[decision.Ticket, attempt.Attempt] = {}
        self._running_by_fingerprint: collections.Counter = (
            collections.Counter()
        )
        self._overdue_queue: list[tuple[clock.Ms, decision.Ticket]] = []

    def start(
        self, entry: attempt.Entry, now: clock.Ms, hedge: bool = False
    ) -> decision.Start | None:
        """Place and start a request; return None without a free slot.

        :param entry: the request.
        :param now: monotonic ms.
        :param hedge: whether it runs in parallel with another attempt.
        """
        target = self._place(entry, now)
        if target is None:
            return None
        self._assert_may_start(target, now)
        self._record_start(entry, target, now)
        started = attempt.Attempt(
            self._last_ticket, entry, target, now, hedge, entry.suspect
        )
        self._attempt_by_ticket[self._last_ticket] = started
        entry.attempt_by_ticket[self._last_ticket] = started
        due = now + _OVERDUE_RATIO * entry.expected.bound
        heapq.heappush(self._overdue_queue, (due, self._last_ticket))
        slack = entry.work.deadline - now - entry.expected.mean
        return decision.Start(
            self._last_ticket,
            entry.work,
            target.name,
            entry.attempts,
            max(0, slack),
            hedge,
        )

    def end(
        self, ticket: decision.Ticket, now: clock.Ms
    ) -> attempt.Attempt | None:
        """Release an attempt's slots; return None if it ended before.

        :param ticket: the attempt.
        :param now: monotonic ms.
        """
        ended = self._attempt_by_ticket.pop(ticket, None)
        if ended is None:
            return None
        entry, target = ended.entry, ended.candidate
        del entry.attempt_by_ticket[ticket]
        target.record_end(now)
        target.datacentre.running -= 1
        target.suspects -= ended.suspect
        self._limits.release(_key(entry, target))
        self._running_by_fingerprint[entry.work.fingerprint] -= 1
        if not self._running_by_fingerprint[entry.work.fingerprint]:
            del self._running_by_fingerprint[entry.work.fingerprint]
        return ended

    def refresh_upstream(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        """Make the slot of an attempt that ended available again.

        :param ended: the attempt.
        :param now: monotonic ms.
        """
        name = ended.candidate.name
        if self._fleet.candidate_by_name.get(name) is ended.candidate:
            self._fleet.refresh(ended.candidate, now)

    def overdue(self, now: clock.Ms) -> list[attempt.Attempt]:
        """Return the attempts that have become overdue.

        :param now: monotonic ms.
        """
        late = []
        while self._overdue_queue and self._overdue_queue[0][0] <= now:
            _, ticket = heapq.heappop(self._overdue_queue)
            running = self._attempt_by_ticket.get(ticket)
            if running is not None:
                next_due = now + max(1, now - running.started)
                heapq.heappush(self._overdue_queue, (next_due, ticket))
                late.append(running)
        return late

    def has_no_running_copy(self, fingerprint: str) -> bool:
        """Return whether no other copy of a request is in progress.

        :param fingerprint: the request's.
        """
        return not self._running_by_fingerprint[fingerprint]

    def _place(
        self, entry: attempt.Entry, now: clock.Ms
    ) -> candidate.Candidate | None:
        item = entry.work
        entry.suspect = self._monitor.is_suspect(item.fingerprint, now)
        index = self._fleet.index_by_model.get(item.model)
        if index is None:
            return None
        fingerprint = item.fingerprint
        # Two copies at once could crash two more upstreams before the first
        # crash is known.  The second copy waits: most suspects turn out to
        # be harmless, and then all copies run.
        if entry.suspect and not self.has_no_running_copy(fingerprint):
            return None
        if self._monitor.must_wait(fingerprint, now):
            return None
        chosen = self._pick(entry, index, entry.failed_upstreams, now)
        if (
            chosen is None
            and entry.failed_upstreams
            and not self._has_alternative(entry, now)
        ):
            # No alternative is left.  The upstream may have recovered, and
            # the next connection to it need not break.
            chosen = self._pick(entry, index, entry.excluded_upstreams, now)
        return chosen

    def _pick(
        self,
        entry: attempt.Entry,
        index: freeslots.FreeSlotIndex,
        excluded: set[str],
        now: clock.Ms,
    ) -> candidate.Candidate | None:
        cache_probability = self._monitor.affinity.holders(
            entry.work.prefixes, now
        )
        by_name = self._fleet.candidate_by_name
        holders = sorted(
            cache_probability, key=cache_probability.__getitem__, reverse=True
        )
        request = placement.PlacementRequest(
            lambda target: self._allows(entry, target, excluded, now),
            cache_probability,
            entry.work.prompt_tokens,
            entry.expected.mean,
        )
        likely = [by_name[name] for name in holders if name in by_name]
        return self._chooser.pick(index, likely, request, self._rng)

    def _has_alternative(self, entry: attempt.Entry, now: clock.Ms) -> bool:
        return any(
            item.name not in entry.failed_upstreams
            and item.block_reason(now) is None
            for item in self._fleet.serving(entry.work.model)
        )

    def _allows(
        self,
        entry: attempt.Entry,
        target: candidate.Candidate,
        excluded: set[str],
        now: clock.Ms,
    ) -> bool:
        # Its allowance may be outdated, for example after a loan or a
        # group's state has expired.
        self._fleet.refresh(target, now)
        if not target.has_free_slot() or target.name in excluded:
            return False
        if entry.work.model not in target.upstream.serves:
            return False
        # One crash would mark two suspects on the same upstream, and the
        # harmless one would be fenced with the other.
        if entry.suspect and target.suspects:
            return False
        return self._limits.has_free_slot(_key(entry, target), now)

    def _assert_may_start(
        self, target: candidate.Candidate, now: clock.Ms
    ) -> None:
        reason = target.block_reason(now)
        self._invariants.check(
            "work goes only to upstreams that are in service and whole",
            reason is None,
            f"{target.name}: {reason.value if reason else ''}",
        )
        self._invariants.check(
            "upstreams in need get no more than they ask for",
            not target.is_held,
            target.name,
        )
        if target.ramp.is_cold(now):
            self._invariants.check(
                "a cold upstream holds no more than was lent",
                target.own
                < min(target.loan_slots(now), target.ramp.bound(now)),
                f"{target.name}: {target.own} there, {target.loan}",
            )

    def _record_start(
        self, entry: attempt.Entry, target: candidate.Candidate, now: clock.Ms
    ) -> None:
        self._last_ticket += 1
        entry.attempts += 1
        target.record_start(now)
        self._fleet.record_sent(target, now)
        target.datacentre.running += 1
        target.suspects += entry.suspect
        self._limits.acquire(_key(entry, target))
        self._running_by_fingerprint[entry.work.fingerprint] += 1


def _key(entry: attempt.Entry, target: candidate.Candidate) -> limits.Key:
    item = entry.work
    return limits.Key(item.team, item.model, target.upstream.datacentre)
