"""Decides which groups change, without side effects."""

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
#: Events that close a group that could continue to serve.
_VOLUNTARY_EVENTS = {_E.OUTDATED, _E.LEAVING, _E.UNWANTED}
_NO_EVENT = observation.Observation(_E.WAITING, "")


class Reconciler:
    """Decides the changes of one step; each step creates a new one.

    :param observed: the observed state.
    :param planned: the planner's output for that state.
    :param next_attempt: returns the id of the next attempt.
    :param invariants: where invariants are checked.
    """

    def __init__(
        self,
        observed: observedstate.ObservedState,
        planned: plan.Plan,
        next_attempt: Callable[[], str],
        invariants: invariant.Invariants,
    ) -> None:
        self._observed = observed
        self._plan = planned
        self._next_attempt = next_attempt
        self._invariants = invariants
        self._group_by_name = observed.declared_groups()
        self._repair_by_group = {r.group: r for r in planned.repairs}
        self._closed_count_by_declared = self._count_closed()

    def _count_closed(self) -> dict[str, int]:
        # Every group that does not serve counts, whatever the cause: the
        # limit ensures that enough groups remain for the callers.
        observed = self._observed
        closed_count_by_declared: dict[str, int] = {}
        for each in observed.cache.record_by_group.values():
            finding = observation.observe(
                each, observed.status_by_vm, observed.now, observed.timings
            )
            is_closed = (
                each.phase is not _P.SERVING
                or finding.event is not _E.CONVERGED
            )
            count = closed_count_by_declared.get(each.declared, 0)
            closed_count_by_declared[each.declared] = count + is_closed
        return closed_count_by_declared

    def changes(self) -> list[change.Change]:
        """Return the due changes, new groups first."""
        new = self._new_groups()
        records = sorted(self._observed.cache.record_by_group.items())
        transitions = (self._next_change(each) for _, each in records)
        return [*new, *(each for each in transitions if each)]

    def _new_groups(self) -> list[change.Change]:
        used_names = set(self._observed.cache.record_by_group)
        changes = []
        for each in self._plan.placements:
            number = 0
            while f"{each.declared}-{number}" in used_names:
                number += 1
            name = f"{each.declared}-{number}"
            used_names.add(name)
            changes.append(change.Change(None, self._new_record(name, each)))
        return changes

    def _new_record(
        self, name: str, each: placement.Placement
    ) -> record.GroupRecord:
        observed = self._observed
        return record.GroupRecord(
            name=name,
            declared=each.declared,
            domain=each.domain,
            members=tuple(self._member(vm) for vm in each.vms),
            fence=self._next_fence(each.vms, None),
            attempt=self._next_attempt(),
            phase=_P.FORMING,
            reason="newly placed",
            since=observed.wall,
            wanted=observed.wanted(self._group_by_name[each.declared]),
        )

    def _member(self, vm: str) -> member.Member:
        return member.Member(vm, self._observed.listed_by_vm[vm].address)

    def _next_fence(
        self, vms: tuple[str, ...], before: record.GroupRecord | None
    ) -> int:
        statuses = (self._observed.status_by_vm.get(vm) for vm in vms)
        fences = [f.holding.fence for f in statuses if f and f.holding]
        cache = self._observed.cache
        return change.next_fence(cache, before, max(fences, default=0))

    def _next_change(
        self, group_record: record.GroupRecord
    ) -> change.Change | None:
        finding = self._assess(group_record)
        key = (group_record.phase, finding.event)
        if key not in transition.NEXT_BY_PHASE_AND_EVENT:
            return None
        after = transition.NEXT_BY_PHASE_AND_EVENT[key]
        if not self._may_transition(group_record, after):
            return None
        if (
            group_record.phase is _P.SERVING
            and finding.event in _VOLUNTARY_EVENTS
        ):
            self._closed_count_by_declared[group_record.declared] += 1
        if after is None:
            return change.Change(group_record, None)
        return self._transition(group_record, after, finding)

    def _may_transition(
        self, group_record: record.GroupRecord, after: phase.Phase | None
    ) -> bool:
        # An engine that ignores fencing tokens may accept a late order of
        # an earlier leader, or one of this leader that was not answered.
        # Intents may be written at once, as their orders wait; serving needs
        # a read-back from after the last moment an order could arrive.
        group = self._group_by_name.get(group_record.declared)
        if group is None or group.refuses_old_fence:
            return True
        return after is not _P.SERVING or self._observed.is_settled(
            group_record.vms
        )

    def _assess(
        self, group_record: record.GroupRecord
    ) -> observation.Observation:
        observed = self._observed
        if group_record.phase is _P.DISSOLVING:
            return self._when_drained(
                group_record, _E.DRAINED, group_record.reason
            )
        group = self._group_by_name.get(group_record.declared)
        if group is None:
            return observation.Observation(
                _E.UNWANTED, "not declared any more"
            )
        dissolve_reason = self._plan.reason_by_dissolved.get(group_record.name)
        if dissolve_reason:
            return observation.Observation(_E.UNWANTED, dissolve_reason)
        finding = observation.observe(
            group_record, observed.status_by_vm, observed.now, observed.timings
        )
        planned_repair = self._repair_by_group.get(group_record.name)
        if planned_repair:
            return self._assess_repair(
                group_record, planned_repair, finding, group
            )
        if finding.event is _E.LOST:
            return finding
        if len(group_record.members) != group.size:
            return self._assess_resized(group_record, group)
        if group_record.wanted != observed.wanted(group):
            return self._assess_outdated(group_record, finding, group)
        return finding

    def _assess_repair(
        self,
        group_record: record.GroupRecord,
        planned_repair: repair.Repair,
        finding: observation.Observation,
        group: declared.Group,
    ) -> observation.Observation:
        spares = ", ".join(
            f"{v} by {s}" for v, s in planned_repair.spare_by_vm.items()
        )
        reason = f"replaced {spares}"
        if (
            finding.event is _E.LOST
            or group_record.phase in transition.PHASES_WITH_ORDERS
        ):
            # The group does not serve, so there is nothing to drain.
            return observation.Observation(_E.REPAIR, reason)
        if group_record.phase is _P.CLOSED:
            return self._when_drained(group_record, _E.REPAIR, reason)
        reason = f"leaving: {', '.join(planned_repair.spare_by_vm)}"
        return self._limit_closed(group_record, group, _E.LEAVING, reason)

    def _assess_outdated(
        self,
        group_record: record.GroupRecord,
        finding: observation.Observation,
        group: declared.Group,
    ) -> observation.Observation:
        new_wanted = self._observed.wanted(group)
        reason = " ".join(("change to", *filter(None, new_wanted)))
        if group_record.phase is _P.SERVING and finding.event is _E.CONVERGED:
            return self._limit_closed(group_record, group, _E.OUTDATED, reason)
        if finding.event is _E.DIVERGED:
            return finding
        if group_record.phase is _P.CLOSED:
            return self._when_drained(group_record, _E.OUTDATED, reason)
        if group_record.phase in transition.PHASES_WITH_ORDERS:
            return observation.Observation(_E.OUTDATED, reason)
        return finding

    def _assess_resized(
        self, group_record: record.GroupRecord, group: declared.Group
    ) -> observation.Observation:
        # A dissolved group has no record until its successor is placed.
        # Counting the missing replicas keeps a further group from being
        # dissolved in between.
        records = self._observed.cache.record_by_group.values()
        existing = sum(each.declared == group.name for each in records)
        closed = self._closed_count_by_declared.get(group.name, 0)
        unavailable = closed + max(0, group.replicas - existing)
        if (
            group_record.phase is _P.SERVING
            and unavailable >= group.most_closed
        ):
            return _NO_EVENT
        return self._limit_closed(
            group_record, group, _E.UNWANTED, "another size"
        )

    def _limit_closed(
        self,
        group_record: record.GroupRecord,
        group: declared.Group,
        next_event: event.Event,
        reason: str,
    ) -> observation.Observation:
        """Allow a change of a serving group if one more group may close.

        If all replicas of a declared group closed for a change at once,
        callers would have none until the weights are loaded.  Operators set
        the limit to what the remaining replicas can handle.
        """
        if group_record.phase is not _P.SERVING:
            return observation.Observation(next_event, reason)
        closed = self._closed_count_by_declared.get(group_record.declared, 0)
        if closed >= group.most_closed:
            return _NO_EVENT
        self._invariants.check(
            "a change closes no more groups than declared",
            closed + 1 <= group.most_closed,
            f"{group_record.name}: {closed} of {group.most_closed}",
        )
        return observation.Observation(next_event, reason)

    def _when_drained(
        self,
        group_record: record.GroupRecord,
        next_event: event.Event,
        reason: str,
    ) -> observation.Observation:
        if group_record.name not in self._observed.drained_groups:
            return _NO_EVENT
        return observation.Observation(next_event, reason)

    def _transition(
        self,
        group_record: record.GroupRecord,
        after: phase.Phase,
        finding: observation.Observation,
    ) -> change.Change:
        new = group_record._replace(
            phase=after,
            reason=finding.reason,
            since=self._observed.wall,
            attempt=self._next_attempt(),
        )
        if after not in transition.PHASES_WITH_ORDERS:
            return change.Change(group_record, new, has_orders=False)
        new = self._with_intent(group_record, new, finding)
        vms = tuple(dict.fromkeys((*group_record.vms, *new.vms)))
        new = new._replace(fence=self._next_fence(vms, group_record))
        return change.Change(group_record, new)

    def _with_intent(
        self,
        group_record: record.GroupRecord,
        new: record.GroupRecord,
        finding: observation.Observation,
    ) -> record.GroupRecord:
        wanted = self._observed.wanted(
            self._group_by_name[group_record.declared]
        )
        if new.phase is _P.FORMING:
            members = self._members_after_repair(group_record, finding)
            kind = order.OrderKind.FORM
            return new._replace(members=members, wanted=wanted, kind=kind)
        if finding.event is not _E.OUTDATED:
            return new._replace(kind=order.OrderKind.LOAD)
        only_role = group_record.wanted._replace(role=wanted.role) == wanted
        kind = order.OrderKind.ROLE if only_role else order.OrderKind.LOAD
        return new._replace(wanted=wanted, kind=kind)

    def _members_after_repair(
        self,
        group_record: record.GroupRecord,
        finding: observation.Observation,
    ) -> tuple[member.Member, ...]:
        if finding.event is not _E.REPAIR:
            return group_record.members
        spare_by_vm = self._repair_by_group[group_record.name].spare_by_vm
        return tuple(
            self._member(spare_by_vm[each.vm])
            if each.vm in spare_by_vm
            else each
            for each in group_record.members
        )
