"""All upstreams that this daemon may use, by model."""

import collections
import collections.abc
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load
from citronvalve.policy import candidate
from citronvalve.policy import limits
from citronvalve.policy import room
from citronvalve.policy import shift

#: Ticks in which the whole fleet is looked at once.
_TICKS_A_ROUND = 8

_NO_SLOTS: collections.Counter = collections.Counter()


class LoanRequest(NamedTuple):
    """A cold upstream that this daemon wants slots of.

    ``bound`` is what all daemons together may have there now, as this one
    sees it; the keeper lends parts of it.  ``slots`` are asked for: no more
    than this daemon would have of it warm, so that its loan fits beside the
    parts of those that take the upstream for warm.
    """

    upstream: str
    bound: int
    slots: int
    datacentre: str
    start_id: str


class Fleet:
    """Keeps candidates, their allowances, and sums of these by model.

    :param home: this daemon's data centre.
    """

    def __init__(self, home: str) -> None:
        self.candidate_by_name: dict[str, candidate.Candidate] = {}
        self.index_by_model: dict[str, room.FreeSlotIndex] = {}
        self.state_by_datacentre: dict[str, shift.DatacentreState] = {}
        self._home = home
        self._share = limits.Share(0, 1)
        self._looked_at = 0
        self._slots_by_model: dict[str, collections.Counter] = {}

    def set_share(self, share: limits.Share, now: clock.Ms) -> None:
        """Set the number of daemons that use the same upstreams.

        :param share: this daemon's place among them.
        :param now: monotonic ms.
        """
        self._share = share
        self._refresh(self.candidate_by_name.values(), now)

    def apply_table(
        self,
        table: declared.Declared,
        grouped: collections.abc.Iterable[declared.Upstream],
        now: clock.Ms,
    ) -> None:
        """Apply the table and the upstreams that groups made.

        :param table: the whole table.
        :param grouped: upstreams of replica groups.
        :param now: monotonic ms.
        """
        made = {upstream.name: upstream for upstream in grouped}
        wanted = {**table.upstream_by_name, **made}
        for name in self.candidate_by_name.keys() - wanted.keys():
            self._remove(self.candidate_by_name.pop(name))
        back = self._declare_places(table, wanted)
        for upstream in wanted.values():
            self._declare_one(table, upstream)
        for item in self.candidate_by_name.values():
            if item.upstream.datacentre in back:
                # What its engines had cached is old or gone.
                item.ramp.mark_cold(now)
        self._refresh(self.candidate_by_name.values(), now)

    def observe(self, report: load.LoadReport, now: clock.Ms) -> None:
        """Take in a load report; one of an unknown upstream is dropped.

        :param report: the report.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(report.upstream)
        if item is not None:
            item.observe(report)
            self.refresh(item, now)

    def accept_loan(
        self, upstream: str, slots: int, until: clock.Ms, now: clock.Ms
    ) -> None:
        """Take a loan of a cold upstream's slots.

        :param upstream: its name.
        :param slots: requests in progress that the loan allows.
        :param until: monotonic ms at which it ends.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(upstream)
        if item is not None:
            item.loan = candidate.Loan(slots, until)
            self.refresh(item, now)

    def tick(self, now: clock.Ms) -> None:
        """Let time change what it changes: loans, circuits, ramps, age.

        A part of the fleet each time: what an upstream may get is worked
        out again before each start, so a late look only delays room that
        opens, and a look at thousands every tick would cost a core.

        :param now: monotonic ms.
        """
        names = list(self.candidate_by_name)
        part = len(names) // _TICKS_A_ROUND + 1
        for at in range(self._looked_at, self._looked_at + part):
            if names:
                name = names[at % len(names)]
                self.refresh(self.candidate_by_name[name], now)
        self._looked_at = (self._looked_at + part) % max(1, len(names))

    def refresh(self, item: candidate.Candidate, now: clock.Ms) -> None:
        """Work out what an upstream may get, after any change of it.

        :param item: the upstream.
        :param now: monotonic ms.
        """
        item.circuit.tick(now)
        delta = item.refresh(now, self._share)
        for model in item.upstream.serves if delta else ():
            slots = self._slots_by_model[model]
            slots[item.upstream.datacentre] += delta
        if item.has_free_slot():
            for model in item.upstream.serves:
                self.index_by_model[model].add(item)

    def slots(self, model: str) -> float:
        """Return the requests of a model this daemon may have in progress.

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
        """Tell in words why a model has no slots.

        :param model: the model or plain service.
        :param now: monotonic ms.
        """
        counts: collections.Counter = collections.Counter()
        for item in self.serving(model):
            bar = item.block_reason(now)
            cold = "it is cold, and no slots of it are lent to this daemon"
            full = "it bears no more"
            open_ = cold if item.ramp.is_cold(now) else full
            counts[bar.value if bar else open_] += 1
        told = (f"{many} since {why}" for why, many in counts.items())
        return "; ".join(told) or "none is declared"

    def start_id(self, upstream: str) -> str:
        """Return the start of an upstream that was seen last.

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
        """Return the slots of an upstream that is warm, as seen here; else 0.

        :param upstream: its name.
        :param start_id: the start that is asked for.
        :param now: monotonic ms.
        """
        item = self.candidate_by_name.get(upstream)
        if item is None or item.block_reason(now) is not None:
            return 0
        if item.report.start_id != start_id or item.ramp.is_cold(now):
            return 0
        return item.upstream.slots

    def _refresh(
        self,
        items: collections.abc.Iterable[candidate.Candidate],
        now: clock.Ms,
    ) -> None:
        for item in items:
            self.refresh(item, now)

    def _declare_places(
        self,
        table: declared.Declared,
        wanted: dict[str, declared.Upstream],
    ) -> set[str]:
        most = collections.Counter()
        for upstream in wanted.values():
            most[upstream.datacentre] += upstream.slots
        back = set()
        for name, row in table.datacentre_by_name.items():
            place = self.state_by_datacentre.get(name)
            if place is None:
                place = shift.DatacentreState(row.state)
                self.state_by_datacentre[name] = place
            if place.declare(row.state, most[name] // self._share.members):
                back.add(name)
        return back

    def _declare_one(
        self,
        table: declared.Declared,
        upstream: declared.Upstream,
    ) -> None:
        old = self.candidate_by_name.get(upstream.name)
        if old is not None and _is_same_place(old, upstream):
            old.update_upstream(upstream)
            return
        if old is not None:
            self._remove(old)
        place = self.state_by_datacentre.setdefault(
            upstream.datacentre,
            shift.DatacentreState(declared.ServiceState.OUT),
        )
        tier = self._tier(table, upstream.datacentre)
        item = candidate.Candidate(upstream, place, tier)
        self.candidate_by_name[upstream.name] = item
        for model in upstream.serves:
            self.index_by_model.setdefault(model, room.FreeSlotIndex())
            self._slots_by_model.setdefault(model, collections.Counter())

    def _remove(self, item: candidate.Candidate) -> None:
        for model in item.upstream.serves:
            self.index_by_model[model].drop(item)
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


def _is_same_place(
    old: candidate.Candidate, upstream: declared.Upstream
) -> bool:
    # An upstream at another address or with other models is another one:
    # what is known of the old one says nothing about it.
    now = old.upstream
    return (now.address, now.datacentre, now.serves) == (
        upstream.address,
        upstream.datacentre,
        upstream.serves,
    )
