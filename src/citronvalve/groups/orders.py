"""Derives orders from the stored rows, without side effects."""

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
    """An order and the VM that receives it."""

    vm: str
    address: str
    order: order.Order


def group_orders(
    group_record: record.GroupRecord, observed: observedstate.ObservedState
) -> list[AddressedOrder]:
    """Return the orders that follow from a group's row.

    Their content comes from the row alone, and they are repeated with the
    same attempt until the read-back confirms them.  Any leader can therefore
    continue where another was killed, and a late copy changes nothing.

    :param group_record: the group's stored record.
    :param observed: the observed state.
    """
    if group_record.phase not in (phase.Phase.FORMING, phase.Phase.LOADING):
        return []
    group = observed.declared_groups().get(group_record.declared)
    if group is None:
        return []
    if (
        not group.refuses_old_fence
        and observed.now < observed.orders_settled_at
    ):
        return []
    due = []
    for rank, each in enumerate(group_record.members):
        status = observed.status_by_vm.get(each.vm)
        if status is None or status.holding is None:
            continue
        if observation.is_unreachable(status, observed.now, observed.timings):
            continue
        if _is_due(group_record, rank, status.holding):
            new_order = _build_order(group_record, rank)
            due.append(AddressedOrder(each.vm, each.address, new_order))
    return due


def is_loading(
    group_record: record.GroupRecord, observed: observedstate.ObservedState
) -> bool:
    """Tell whether a VM of a group is loading weights.

    :param group_record: the group's stored record.
    :param observed: the observed state.
    """
    if group_record.phase is not phase.Phase.LOADING:
        return False
    statuses = (observed.status_by_vm.get(vm) for vm in group_record.vms)
    holdings = [each.holding for each in statuses if each and each.holding]
    return any(
        each.group == group_record.name
        and each.state is holding.WeightsState.LOADING
        for each in holdings
    )


def _is_due(
    group_record: record.GroupRecord, rank: int, reported: holding.Holding
) -> bool:
    if reported.fence != group_record.fence:
        return reported.fence < group_record.fence
    if group_record.phase is phase.Phase.FORMING:
        return not observation.is_formed(group_record, rank, reported)
    return reported.state is holding.WeightsState.EMPTY


def _build_order(group_record: record.GroupRecord, rank: int) -> order.Order:
    return order.Order(
        fence=group_record.fence,
        attempt=group_record.attempt,
        kind=group_record.kind,
        group=group_record.name,
        members=group_record.members,
        rank=rank,
        model=group_record.wanted.model,
        version=group_record.wanted.version,
        adapter=group_record.wanted.adapter,
        role=group_record.wanted.role,
    )


def strays(
    observed: observedstate.ObservedState,
) -> list[tuple[str, holding.Holding]]:
    """Return the unowned VMs that still hold a group or weights.

    They were unreachable when their group was dissolved, or accepted a late
    order.

    :param observed: the observed state.
    """
    stray_holdings = []
    for vm in observed.listed_by_vm:
        status = observed.status_by_vm.get(vm)
        if status is None or status.holding is None:
            continue
        owner_row = observed.cache.owner_by_vm.get(vm)
        if owner_row and owner_row.group:
            continue
        unreachable = observation.is_unreachable(
            status, observed.now, observed.timings
        )
        if not unreachable and fleetbuilder.is_stray(status.holding):
            stray_holdings.append((vm, status.holding))
    return stray_holdings


def stray_order(
    owner_row: owner.Owner | None, reported: holding.Holding, address: str
) -> AddressedOrder | None:
    """Return the order that clears a stray VM.

    :param owner_row: its row, which is the intent of the order.
    :param reported: its read-back.
    :param address: host:port of its engine.
    :return: None when the row must be raised above the engine's fence first.
    """
    if owner_row is None or owner_row.fence < reported.fence:
        return None
    close_order = order.Order(
        owner_row.fence, owner_row.attempt, order.OrderKind.CLOSE
    )
    return AddressedOrder(owner_row.vm, address, close_order)
