"""Builds the planner's input from the observed state."""

from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus
from citronvalve.groups import holding
from citronvalve.groups import observation
from citronvalve.groups import observedstate
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.storage import vmlist


def is_stray(reported: holding.Holding) -> bool:
    """Tell whether an unowned VM still holds a group or weights.

    :param reported: its read-back.
    """
    return (
        bool(reported.group)
        or reported.state is not holding.WeightsState.EMPTY
    )


def build_fleet(observed: observedstate.ObservedState) -> fleet.Fleet:
    """Return the declared groups, the existing groups and the free VMs.

    :param observed: the observed state.
    """
    specs = tuple(
        groupspec.GroupSpec(each.name, each.size, each.replicas)
        for each in observed.declared_groups().values()
    )
    records = observed.cache.record_by_group.values()
    groups = tuple(
        _group_status(each, observed)
        for each in records
        if each.phase is not phase.Phase.DISSOLVING
    )
    return fleet.Fleet(specs, groups, _free_by_domain(observed))


def _group_status(
    group_record: record.GroupRecord, observed: observedstate.ObservedState
) -> groupstatus.GroupStatus:
    lost = observation.lost_vms(
        group_record, observed.status_by_vm, observed.now, observed.timings
    )
    leaving = tuple(
        vm
        for vm in group_record.vms
        if vm not in lost and _is_leaving(vm, observed)
    )
    unusable = {*lost, *leaving}
    up = tuple(vm for vm in group_record.vms if vm not in unusable)
    return groupstatus.GroupStatus(
        group_record.name,
        group_record.declared,
        group_record.domain,
        up,
        lost,
        leaving,
    )


def _is_leaving(vm: str, observed: observedstate.ObservedState) -> bool:
    # A VM that is not listed may be newer than the list, or the record of
    # its group older.  Only an unreachable engine makes a VM lost.
    listed = observed.listed_by_vm.get(vm)
    return listed is not None and listed.state is vmlist.VmState.LEAVING


def _free_by_domain(
    observed: observedstate.ObservedState,
) -> dict[str, tuple[str, ...]]:
    # Engines that ignore fencing tokens may still accept an order of an
    # earlier leader.  Until that is ruled out, no VM is assigned.
    groups = observed.declared_groups().values()
    late_orders_possible = any(not each.refuses_old_fence for each in groups)
    by_domain: dict[str, list[str]] = {}
    for vm, listed in sorted(observed.listed_by_vm.items()):
        if listed.state is not vmlist.VmState.LIVE:
            continue
        if _is_free(vm, observed) and (
            not late_orders_possible or observed.is_settled((vm,))
        ):
            by_domain.setdefault(listed.domain, []).append(vm)
    return {domain: tuple(vms) for domain, vms in by_domain.items()}


def _is_free(vm: str, observed: observedstate.ObservedState) -> bool:
    owner = observed.cache.owner_by_vm.get(vm)
    if owner and owner.group:
        return False
    status = observed.status_by_vm.get(vm)
    if status is None or status.holding is None:
        return False
    # Leftovers of an old group are cleared by the first order.
    return not observation.is_unreachable(
        status, observed.now, observed.timings
    )
