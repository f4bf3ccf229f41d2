"""All upstreams that this daemon may use, by model."""

import collections
import collections.abc
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load
from citronvalve.policy import candidate
from citronvalve.policy import datacentrestate
from citronvalve.policy import freeslots
from citronvalve.policy import limits
from citronvalve.policy import roomshare
from citronvalve.policy import upstreamlimits
from citronvalve.policy import upstreamrests

#: Ticks in which the whole fleet is refreshed once.
_TICKS_PER_ROUND = 8

#: All daemons share the rate of an upstream, wherever it is.
_ANYWHERE = ""

_NO_SLOTS: collections.Counter = collections.Counter()


class LoanRequest(NamedTuple):
    """A request for a loan of a cold upstream's slots.

    ``bound`` is the number of requests that all daemons together may run
    there, as known here; the coordinator lends parts of it.  ``slots`` is
    the requested number, at most this daemon's part when warm, so that the
    loan fits beside the parts of daemons that see the upstream as warm.
    """

    upstream: str
    bound: int
    slots: int
    datacentre: str
    start_id: str


class Fleet:
    """All candidates, and the sums of their allowances by model.

    :param home: this daemon's data centre.
    :ivar rates: the request rates that upstreams have named.
    :ivar rests: how long upstreams want no request from this daemon.
    """

    def __init__(self, home: str) -> None:
        self.candidate_by_name: dict[str, candidate.Candidate] = {}
        self.name_by_address: dict[str, str] = {}
        self.index_by_model: dict[str, freeslots.FreeSlotIndex] = {}
        self.state_by_datacentre: dict[
            str, datacentrestate.DatacentreState
        ] = {}
        self._home = home
        self._share = limits.Share(0, 1)
        self._members = _members(self._share)
        self.rates = upstreamlimits.UpstreamLimits()
        self.rests = upstreamrests.UpstreamRests()
        self._next_index = 0
        self._slots_by_model: dict[str, collections.Counter] = {}

    def set_share(self, share: limits.Share, now: clock.Ms) -> None:
        """Set this daemon's rank among those that use the same upstreams.

        :param share: its rank and their number.
        :param now: monotonic ms.
        """
        self._share = share
        self._members = _members(share)
        self._refresh_all(self.candidate_by_name.values(), now)

    def apply_table(
        self,
        table: declared.Declared,
        grouped: collections.abc.Iterable[declared.Upstream],
        now: clock.Ms,
    ) -> None:
        """Apply the table and the upstreams of replica groups.

        :param table: the whole table.
        :param grouped: upstreams of replica groups.
        :param now: monotonic ms.
        """
        grouped_by_name = {upstream.name: upstream for upstream in grouped}
        upstream_by_name = {**table.upstream_by_name, **grouped_by_name}
        for name in self.candidate_by_name.keys() - upstream_by_name.keys():
            self._remove(self.candidate_by_name.pop(name))
        self.rates.retain(set(upstream_by_name), now)
        self.rests.prune(now)
        returning = self._apply_datacentres(table, upstream_by_name)
        for upstream in upstream_by_name.values():
            self._apply_upstream(table, upstream)
        for item in self.candidate_by_name.values():
            if item.upstream.datacentre in returning:
                # The caches of its engines are outdated or empty.
                item.ramp.mark_cold(now)
        self._refresh_all(self.candidate_by_name.values(), now)

    def observe(self, report: load.LoadReport, now: clock.Ms) -> None:
        """Apply a load report; one of an unknown upstream is ignored.

        :param report: the report.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(report.upstream)
        if item is not None:
            item.observe(report)
            self.refresh(item, now)

    def accept_loan(
        self, upstream: str, slots: int, expires_at: clock.Ms, now: clock.Ms
    ) -> None:
        """Use a loan of a cold upstream's slots.

        :param upstream: its name.
        :param slots: requests in progress that the loan allows.
        :param expires_at: when it expires, in monotonic ms.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(upstream)
        if item is not None:
            item.loan = candidate.Loan(slots, expires_at)
            self.refresh(item, now)

    def tick(self, now: clock.Ms) -> None:
        """Refresh part of the fleet after loans, circuits, ramps and age.

        An allowance is recomputed before each start, so that a late refresh
        only delays the use of new slots, and a refresh of thousands of
        upstreams at every tick would use up a core.

        :param now: monotonic ms.
        """
        names = list(self.candidate_by_name)
        count = len(names) // _TICKS_PER_ROUND + 1
        for index in range(self._next_index, self._next_index + count):
            if names:
                name = names[index % len(names)]
                self.refresh(self.candidate_by_name[name], now)
        self._next_index = (self._next_index + count) % max(1, len(names))

    def refresh(self, item: candidate.Candidate, now: clock.Ms) -> None:
        """Recompute an upstream's allowance after any change.

        :param item: the upstream.
        :param now: monotonic ms.
        """
        item.circuit.tick(now)
        item.is_limited = item.name in self.rates.limit_by_upstream
        item.is_resting = self.rests.is_resting(item.name, now)
        item.is_held = (
            item.is_leaving
            or item.is_resting
            or not self.rates.is_due(item.name, _ANYWHERE, self._members, now)
        )
        delta = item.refresh(now, self._share)
        for model in item.upstream.serves if delta else ():
            slots = self._slots_by_model[model]
            slots[item.upstream.datacentre] += delta
        if item.has_free_slot():
            for model in item.upstream.serves:
                self.index_by_model[model].add(item)

    def slots(self, model: str) -> float:
        """Return how many requests of a model this daemon may run.

        :param model: the model or plain service.
        """
        slots = self._slots_by_model.get(model, _NO_SLOTS)
        return sum(
            min(number, self.state_by_datacentre[name].bound)
            for name, number in slots.items()
        )

    def serving(self, model: str) -> list[candidate.Candidate]:
        """Return all upstreams of a model, in service or not.

        :param model: the model or plain service.
        """
        return [
            item
            for item in self.candidate_by_name.values()
            if model in item.upstream.serves
        ]

    def no_slots_reason(self, model: str, now: clock.Ms) -> str:
        """Return a description of why a model has no slots.

        :param model: the model or plain service.
        :param now: monotonic ms.
        """
        counts: collections.Counter = collections.Counter()
        for item in self.serving(model):
            reason = item.block_reason(now)
            cold = "it is cold, and no slots of it are lent to this daemon"
            full = "it has no slots for this daemon"
            not_blocked = cold if item.ramp.is_cold(now) else full
            not_blocked = _need(item) or not_blocked
            counts[reason.value if reason else not_blocked] += 1
        parts = (f"{many} since {why}" for why, many in counts.items())
        return "; ".join(parts) or "none is declared"

    def record_sent(self, item: candidate.Candidate, now: clock.Ms) -> None:
        """Record that a request is about to be sent to an upstream.

        :param item: the upstream.
        :param now: monotonic ms.
        """
        if item.is_limited:
            self.rates.record_sent(item.name, now)
            self.refresh(item, now)

    def need_wait(self, model: str, now: clock.Ms) -> float:
        """Return the ms until an upstream in need takes a request.

        :param model: the model or plain service.
        :param now: monotonic ms.
        :returns: infinite if none is in need.
        """
        items = self.serving(model)
        limited = [(i.name, _ANYWHERE) for i in items if i.is_limited]
        resting = [item.name for item in items if item.is_resting]
        return min(
            self.rates.next_turn(limited, self._members, now).wait,
            self.rests.wait(resting, now),
        )

    def record_rest(
        self, upstream: str, duration: float, now: clock.Ms
    ) -> bool:
        """Record that an upstream wants no request; return whether it is new.

        :param upstream: its name.
        :param duration: ms.
        :param now: monotonic ms.
        """
        is_new = self.rests.record(upstream, duration, now)
        self._refresh_named(upstream, now)
        return is_new

    def record_leaving(self, upstream: str, now: clock.Ms) -> bool:
        """Record that an upstream leaves; return whether it is new.

        :param upstream: its name.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(upstream)
        if item is None or item.is_leaving:
            return False
        item.is_leaving = True
        self.refresh(item, now)
        return True

    def record_restart(self, item: candidate.Candidate, now: clock.Ms) -> None:
        """Forget what an upstream asked for before it started again.

        :param item: the upstream.
        :param now: monotonic ms.
        """
        self.rates.record_end(item.name, now + 1)
        self.rests.rest_by_upstream.pop(item.name, None)
        item.is_leaving = False
        self.refresh(item, now)

    def _refresh_named(self, upstream: str, now: clock.Ms) -> None:
        item = self.candidate_by_name.get(upstream)
        if item is not None:
            self.refresh(item, now)

    def start_id(self, upstream: str) -> str:
        """Return the last known start id of an upstream.

        :param upstream: its name.
        """
        item = self.candidate_by_name.get(upstream)
        return item.report.start_id if item and item.report else ""

    def needed_loans(self, now: clock.Ms) -> tuple[LoanRequest, ...]:
        """Return the cold upstreams that need a loan.

        :param now: monotonic ms.
        """
        return tuple(
            LoanRequest(
                item.name,
                item.ramp.bound(now),
                min(item.ramp.bound(now), item.fixed_part(self._share)),
                item.upstream.datacentre,
                item.report.start_id,
            )
            for item in self.candidate_by_name.values()
            if item.block_reason(now) is None and item.ramp.is_cold(now)
        )

    def warm_slots(self, upstream: str, start_id: str, now: clock.Ms) -> int:
        """Return an upstream's slots if this daemon sees it as warm, or 0.

        :param upstream: its name.
        :param start_id: the start in question.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(upstream)
        if item is None or item.block_reason(now) is not None:
            return 0
        if item.report.start_id != start_id or item.ramp.is_cold(now):
            return 0
        return item.upstream.slots

    def _refresh_all(
        self,
        items: collections.abc.Iterable[candidate.Candidate],
        now: clock.Ms,
    ) -> None:
        for item in items:
            self.refresh(item, now)

    def _apply_datacentres(
        self,
        table: declared.Declared,
        upstream_by_name: dict[str, declared.Upstream],
    ) -> set[str]:
        slots = collections.Counter()
        for upstream in upstream_by_name.values():
            slots[upstream.datacentre] += upstream.slots
        returning = set()
        for name, row in table.datacentre_by_name.items():
            state = self.state_by_datacentre.get(name)
            if state is None:
                state = datacentrestate.DatacentreState(row.state)
                self.state_by_datacentre[name] = state
            if state.apply_state(
                row.state, slots[name] // self._share.members
            ):
                returning.add(name)
        return returning

    def _apply_upstream(
        self,
        table: declared.Declared,
        upstream: declared.Upstream,
    ) -> None:
        old = self.candidate_by_name.get(upstream.name)
        if old is not None and _is_same_upstream(old, upstream):
            old.update_upstream(upstream)
            return
        if old is not None:
            self._remove(old)
        state = self.state_by_datacentre.setdefault(
            upstream.datacentre,
            datacentrestate.DatacentreState(declared.ServiceState.OUT),
        )
        tier = self._tier(table, upstream.datacentre)
        item = candidate.Candidate(upstream, state, tier)
        self.candidate_by_name[upstream.name] = item
        self.name_by_address[upstream.address] = upstream.name
        for model in upstream.serves:
            self.index_by_model.setdefault(model, freeslots.FreeSlotIndex())
            self._slots_by_model.setdefault(model, collections.Counter())

    def _remove(self, item: candidate.Candidate) -> None:
        if self.name_by_address.get(item.upstream.address) == item.name:
            del self.name_by_address[item.upstream.address]
        for model in item.upstream.serves:
            self.index_by_model[model].remove(item)
            slots = self._slots_by_model[model]
            slots[item.upstream.datacentre] -= item.allowance
        item.allowance = 0

    def _tier(self, table: declared.Declared, datacentre: str) -> int:
        if datacentre == self._home:
            return 0
        here = table.datacentre_by_name.get(self._home)
        there = table.datacentre_by_name.get(datacentre)
        near = here and there and here.region == there.region
        return 1 if near else 2


def _is_same_upstream(
    old: candidate.Candidate, upstream: declared.Upstream
) -> bool:
    # An upstream at another address or with other models is a different
    # one, to which the state of the old one does not apply.
    current = old.upstream
    return (current.address, current.datacentre, current.serves) == (
        upstream.address,
        upstream.datacentre,
        upstream.serves,
    )


def _need(item: candidate.Candidate) -> str:
    """Return what an upstream in need asks for, or nothing."""
    reasons = {
        "it leaves": item.is_leaving,
        "it wants no request for a while": item.is_resting,
        "it named a rate, and it is not this daemon's turn": item.is_limited,
    }
    return next((why for why, holds in reasons.items() if holds), "")


def _members(share: limits.Share) -> upstreamlimits.Members:
    turn = roomshare.Turn(share.rank, max(1, share.members))
    size_by_datacentre = {_ANYWHERE: turn.daemons}
    return upstreamlimits.Members(_ANYWHERE, turn, turn, size_by_datacentre)
