"""The orders that follow from the rows; pure."""

from typing import NamedTuple

from citronvalve.groups import fleetbuilder
from citronvalve.groups import holding
from citronvalve.groups import observation
from citronvalve.groups import observedstate
from citronvalve.groups import order
from citronvalve.groups import owner
from citronvalve.groups import phase
from citronvalve.groups import record


class AddressedOrder(NamedTuple):
    """An order, and the VM it goes to."""

    vm: str
    address: str
    given: order.Order


def of_group(
    known: record.GroupRecord, seen: observedstate.ObservedState
) -> list[AddressedOrder]:
    """Return the orders that a group's row calls for.

    They are worked out from the row alone and repeated with the same
    attempt until the read-back shows them, so that any leader can carry on
    where another was killed, and a late copy asks for what stands already.

    :param known: the group's record.
    :param seen: the situation.
    """
    if known.phase not in (phase.Phase.FORMING, phase.Phase.LOADING):
        return []
    group = seen.declared_groups().get(known.declared)
    if group is None:
        return []
    if not group.refuses_old_fence and seen.now < seen.orders_settled_at:
        return []
    found = []
    for rank, each in enumerate(known.members):
        sighting = seen.status_by_vm.get(each.vm)
        if sighting is None or sighting.holding is None:
            continue
        if observation.is_silent(sighting, seen.now, seen.timings):
            continue
        if _is_due(known, rank, sighting.holding):
            given = _order(known, rank)
            found.append(AddressedOrder(each.vm, each.address, given))
    return found


def is_loading(
    known: record.GroupRecord, seen: observedstate.ObservedState
) -> bool:
    """Tell whether a VM of a group loads weights at this moment.

    :param known: the group's record.
    :param seen: the situation.
    """
    if known.phase is not phase.Phase.LOADING:
        return False
    found = (seen.status_by_vm.get(vm) for vm in known.vms)
    held = [each.holding for each in found if each and each.holding]
    return any(
        each.group == known.name and each.state is holding.WeightsState.LOADING
        for each in held
    )


def _is_due(
    known: record.GroupRecord, rank: int, held: holding.Holding
) -> bool:
    if held.fence != known.fence:
        return held.fence < known.fence
    if known.phase is phase.Phase.FORMING:
        return not observation.is_formed(known, rank, held)
    return held.state is holding.WeightsState.EMPTY


def _order(known: record.GroupRecord, rank: int) -> order.Order:
    return order.Order(
        fence=known.fence,
        attempt=known.attempt,
        kind=known.kind,
        group=known.name,
        members=known.members,
        rank=rank,
        model=known.wanted.model,
        version=known.wanted.version,
        adapter=known.wanted.adapter,
        role=known.wanted.role,
    )


def strays(
    seen: observedstate.ObservedState,
) -> list[tuple[str, holding.Holding]]:
    """Return the VMs that nobody owns and that hold something.

    They come from a group that was given up while they were silent, or took
    a late order.

    :param seen: the situation.
    """
    found = []
    for vm in seen.listed_by_vm:
        sighting = seen.status_by_vm.get(vm)
        if sighting is None or sighting.holding is None:
            continue
        owned = seen.cache.owner_by_vm.get(vm)
        if owned and owned.group:
            continue
        silent = observation.is_silent(sighting, seen.now, seen.timings)
        if not silent and fleetbuilder.is_stray(sighting.holding):
            found.append((vm, sighting.holding))
    return found


def of_stray(
    owned: owner.Owner | None, held: holding.Holding, address: str
) -> AddressedOrder | None:
    """Return the order that empties a stray VM.

    :param owned: its row, which is the intent.
    :param held: its read-back.
    :param address: of its engine.
    :return: None when the row must be raised above the engine's fence first.
    """
    if owned is None or owned.fence < held.fence:
        return None
    given = order.Order(owned.fence, owned.attempt, order.OrderKind.CLOSE)
    return AddressedOrder(owned.vm, address, given)
