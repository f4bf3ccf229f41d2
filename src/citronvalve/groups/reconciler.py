"""Which groups change, and how; pure."""

from collections.abc import Callable

from citronvalve.groups import change
from citronvalve.groups import event
from citronvalve.groups import member
from citronvalve.groups import observation
from citronvalve.groups import observedstate
from citronvalve.groups import order
from citronvalve.groups import phase
from citronvalve.groups import placement
from citronvalve.groups import plan
from citronvalve.groups import record
from citronvalve.groups import repair
from citronvalve.groups import transition
from citronvalve.model import declared
from citronvalve.model import invariant

_E = event.Event
_P = phase.Phase
#: Events that close a group which could go on serving.
_BY_CHOICE = {_E.OUTDATED, _E.LEAVING, _E.UNWANTED}
_NOTHING = observation.Observation(_E.WAITING, "")


class Reconciler:
    """Decides one step of a data centre; made anew for each.

    :param seen: the situation.
    :param planned: what the planner said of it.
    :param attempt: gives the id of the next try.
    :param held: where promises are asserted.
    """

    def __init__(
        self,
        seen: observedstate.ObservedState,
        planned: plan.Plan,
        attempt: Callable[[], str],
        held: invariant.Invariants,
    ) -> None:
        self._seen = seen
        self._plan = planned
        self._attempt = attempt
        self._held = held
        self._group_by_name = seen.declared_groups()
        self._repair_by_group = {r.group: r for r in planned.repairs}
        self._closed_by_declared = self._count_closed()

    def _count_closed(self) -> dict[str, int]:
        # Every group that does not serve counts, whatever closed it: the
        # bound is for the callers, who are left with the rest.
        seen = self._seen
        closed: dict[str, int] = {}
        for each in seen.cache.record_by_group.values():
            found = observation.observe(
                each, seen.status_by_vm, seen.now, seen.timings
            )
            is_closed = (
                each.phase is not _P.SERVING or found.event is not _E.CONVERGED
            )
            count = closed.get(each.declared, 0)
            closed[each.declared] = count + is_closed
        return closed

    def changes(self) -> list[change.Change]:
        """Return the changes that are due, new groups first."""
        new = self._new_groups()
        records = sorted(self._seen.cache.record_by_group.items())
        later = (self._next(each) for _, each in records)
        return [*new, *(each for each in later if each)]

    def _new_groups(self) -> list[change.Change]:
        taken = set(self._seen.cache.record_by_group)
        made = []
        for each in self._plan.placements:
            number = 0
            while f"{each.declared}-{number}" in taken:
                number += 1
            name = f"{each.declared}-{number}"
            taken.add(name)
            made.append(change.Change(None, self._placed(name, each)))
        return made

    def _placed(
        self, name: str, each: placement.Placement
    ) -> record.GroupRecord:
        seen = self._seen
        return record.GroupRecord(
            name=name,
            declared=each.declared,
            domain=each.domain,
            members=tuple(self._member(vm) for vm in each.vms),
            fence=self._fence(each.vms, None),
            attempt=self._attempt(),
            phase=_P.FORMING,
            reason="newly placed",
            since=seen.wall,
            wanted=seen.wanted(self._group_by_name[each.declared]),
        )

    def _member(self, vm: str) -> member.Member:
        return member.Member(vm, self._seen.listed_by_vm[vm].address)

    def _fence(
        self, vms: tuple[str, ...], before: record.GroupRecord | None
    ) -> int:
        found = (self._seen.status_by_vm.get(vm) for vm in vms)
        held = [f.holding.fence for f in found if f and f.holding]
        known = self._seen.cache
        return change.next_fence(known, before, max(held, default=0))

    def _next(self, known: record.GroupRecord) -> change.Change | None:
        found = self._look(known)
        key = (known.phase, found.event)
        if key not in transition.NEXT_BY_PHASE_AND_EVENT:
            return None
        after = transition.NEXT_BY_PHASE_AND_EVENT[key]
        if not self._may_go_on(known, after):
            return None
        if known.phase is _P.SERVING and found.event in _BY_CHOICE:
            self._closed_by_declared[known.declared] += 1
        if after is None:
            return change.Change(known, None)
        return self._moved(known, after, found)

    def _may_go_on(
        self, known: record.GroupRecord, after: phase.Phase | None
    ) -> bool:
        # An engine that ignores fencing numbers may take a late order of an
        # earlier holder, or one of ours that was not answered.  Intents may
        # be written at once, and their orders wait; serving waits for a
        # read-back made when no order could be in flight any more.
        group = self._group_by_name.get(known.declared)
        if group is None or group.refuses_old_fence:
            return True
        return after is not _P.SERVING or self._seen.is_settled(known.vms)

    def _look(self, known: record.GroupRecord) -> observation.Observation:
        seen = self._seen
        if known.phase is _P.DISSOLVING:
            return self._when_drained(known, _E.DRAINED, known.reason)
        group = self._group_by_name.get(known.declared)
        if group is None:
            return observation.Observation(
                _E.UNWANTED, "not declared any more"
            )
        given_up = self._plan.reason_by_dissolved.get(known.name)
        if given_up:
            return observation.Observation(_E.UNWANTED, given_up)
        found = observation.observe(
            known, seen.status_by_vm, seen.now, seen.timings
        )
        mend = self._repair_by_group.get(known.name)
        if mend:
            return self._mended(known, mend, found, group)
        if found.event is _E.LOST:
            return found
        if len(known.members) != group.size:
            return self._resized(known, group)
        if known.wanted != seen.wanted(group):
            return self._outdated(known, found, group)
        return found

    def _mended(
        self,
        known: record.GroupRecord,
        mend: repair.Repair,
        found: observation.Observation,
        group: declared.Group,
    ) -> observation.Observation:
        spares = ", ".join(f"{v} by {s}" for v, s in mend.spare_by_vm.items())
        reason = f"replaced {spares}"
        if (
            found.event is _E.LOST
            or known.phase in transition.PHASES_WITH_ORDERS
        ):
            # It carries no work: nothing to wait for.
            return observation.Observation(_E.REPAIR, reason)
        if known.phase is _P.CLOSED:
            return self._when_drained(known, _E.REPAIR, reason)
        reason = f"leaving: {', '.join(mend.spare_by_vm)}"
        return self._rolling(known, group, _E.LEAVING, reason)

    def _outdated(
        self,
        known: record.GroupRecord,
        found: observation.Observation,
        group: declared.Group,
    ) -> observation.Observation:
        new = self._seen.wanted(group)
        reason = " ".join(("change to", *filter(None, new)))
        if known.phase is _P.SERVING and found.event is _E.CONVERGED:
            return self._rolling(known, group, _E.OUTDATED, reason)
        if found.event is _E.DIVERGED:
            return found
        if known.phase is _P.CLOSED:
            return self._when_drained(known, _E.OUTDATED, reason)
        if known.phase in transition.PHASES_WITH_ORDERS:
            return observation.Observation(_E.OUTDATED, reason)
        return found

    def _resized(
        self, known: record.GroupRecord, group: declared.Group
    ) -> observation.Observation:
        # Of a group given up nothing is left to count until the next one is
        # placed; without this the one after it would go in between.
        records = self._seen.cache.record_by_group.values()
        here = sum(each.declared == group.name for each in records)
        closed = self._closed_by_declared.get(group.name, 0)
        least = closed + max(0, group.replicas - here)
        if known.phase is _P.SERVING and least >= group.most_closed:
            return _NOTHING
        return self._rolling(known, group, _E.UNWANTED, "another size")

    def _rolling(
        self,
        known: record.GroupRecord,
        group: declared.Group,
        then: event.Event,
        reason: str,
    ) -> observation.Observation:
        """Let a change of a serving group go on, if one more may close.

        Made for a change of a whole declared group under full load: all its
        replicas closed at once would leave callers with none for the time
        of a load.  The bound is what operators say the rest can carry.
        """
        if known.phase is not _P.SERVING:
            return observation.Observation(then, reason)
        closed = self._closed_by_declared.get(known.declared, 0)
        if closed >= group.most_closed:
            return _NOTHING
        self._held.check(
            "a change closes no more groups than declared",
            closed + 1 <= group.most_closed,
            f"{known.name}: {closed} of {group.most_closed}",
        )
        return observation.Observation(then, reason)

    def _when_drained(
        self, known: record.GroupRecord, then: event.Event, reason: str
    ) -> observation.Observation:
        if known.name not in self._seen.drained_groups:
            return _NOTHING
        return observation.Observation(then, reason)

    def _moved(
        self,
        known: record.GroupRecord,
        after: phase.Phase,
        found: observation.Observation,
    ) -> change.Change:
        new = known._replace(
            phase=after,
            reason=found.reason,
            since=self._seen.wall,
            attempt=self._attempt(),
        )
        if after not in transition.PHASES_WITH_ORDERS:
            return change.Change(known, new, has_orders=False)
        new = self._intended(known, new, found)
        vms = tuple(dict.fromkeys((*known.vms, *new.vms)))
        new = new._replace(fence=self._fence(vms, known))
        return change.Change(known, new)

    def _intended(
        self,
        known: record.GroupRecord,
        new: record.GroupRecord,
        found: observation.Observation,
    ) -> record.GroupRecord:
        wanted = self._seen.wanted(self._group_by_name[known.declared])
        if new.phase is _P.FORMING:
            members = self._members(known, found)
            kind = order.OrderKind.FORM
            return new._replace(members=members, wanted=wanted, kind=kind)
        if found.event is not _E.OUTDATED:
            return new._replace(kind=order.OrderKind.LOAD)
        only_role = known.wanted._replace(role=wanted.role) == wanted
        kind = order.OrderKind.ROLE if only_role else order.OrderKind.LOAD
        return new._replace(wanted=wanted, kind=kind)

    def _members(
        self, known: record.GroupRecord, found: observation.Observation
    ) -> tuple[member.Member, ...]:
        if found.event is not _E.REPAIR:
            return known.members
        spare_by_vm = self._repair_by_group[known.name].spare_by_vm
        return tuple(
            self._member(spare_by_vm[each.vm])
            if each.vm in spare_by_vm
            else each
            for each in known.members
        )
