"""The fleet as the planner is to see it."""

from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus
from citronvalve.groups import holding
from citronvalve.groups import observation
from citronvalve.groups import observedstate
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.storage import vmlist


def is_stray(held: holding.Holding) -> bool:
    """Tell whether a VM that nobody owns holds something all the same.

    :param held: its read-back.
    """
    return bool(held.group) or held.state is not holding.WeightsState.EMPTY


def build_fleet(seen: observedstate.ObservedState) -> fleet.Fleet:
    """Return the needs, the groups and the free VMs.

    :param seen: the situation.
    """
    needs = tuple(
        groupspec.GroupSpec(each.name, each.size, each.replicas)
        for each in seen.declared_groups().values()
    )
    records = seen.cache.record_by_group.values()
    groups = tuple(
        _standing(each, seen)
        for each in records
        if each.phase is not phase.Phase.DISSOLVING
    )
    return fleet.Fleet(needs, groups, _free(seen))


def _standing(
    known: record.GroupRecord, seen: observedstate.ObservedState
) -> groupstatus.GroupStatus:
    lost = observation.lost_vms(
        known, seen.status_by_vm, seen.now, seen.timings
    )
    leaving = tuple(
        vm for vm in known.vms if vm not in lost and _is_leaving(vm, seen)
    )
    gone = {*lost, *leaving}
    up = tuple(vm for vm in known.vms if vm not in gone)
    return groupstatus.GroupStatus(
        known.name, known.declared, known.domain, up, lost, leaving
    )


def _is_leaving(vm: str, seen: observedstate.ObservedState) -> bool:
    # A VM that the list does not show may be newer than the list, or a
    # group's record older; only its engine's silence makes it missing.
    listed = seen.listed_by_vm.get(vm)
    return listed is not None and listed.state is vmlist.VmState.LEAVING


def _free(seen: observedstate.ObservedState) -> dict[str, tuple[str, ...]]:
    # Engines that ignore fencing numbers may yet take an order of an
    # earlier holder: until that is over, none of their VMs is given away.
    groups = seen.declared_groups().values()
    careful = any(not each.refuses_old_fence for each in groups)
    by_domain: dict[str, list[str]] = {}
    for vm, listed in sorted(seen.listed_by_vm.items()):
        if listed.state is not vmlist.VmState.LIVE:
            continue
        if _is_free(vm, seen) and (not careful or seen.is_settled((vm,))):
            by_domain.setdefault(listed.domain, []).append(vm)
    return {domain: tuple(vms) for domain, vms in by_domain.items()}


def _is_free(vm: str, seen: observedstate.ObservedState) -> bool:
    owner = seen.cache.owner_by_vm.get(vm)
    if owner and owner.group:
        return False
    found = seen.status_by_vm.get(vm)
    if found is None or found.holding is None:
        return False
    # What it may still hold of an old group goes with the first order.
    return not observation.is_silent(found, seen.now, seen.timings)
