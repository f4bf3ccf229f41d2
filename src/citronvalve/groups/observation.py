"""Comparison of the read-backs of a group's VMs with its record."""

from typing import NamedTuple

from citronvalve.groups import event
from citronvalve.groups import holding
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock


class Observation(NamedTuple):
    """An event, with the reason as shown to operators."""

    event: event.Event
    reason: str


def is_unreachable(
    status: vmstatus.VmStatus | None, now: clock.Ms, timings: timing.Timing
) -> bool:
    """Tell whether a VM's last read-back is too old to act on.

    :param status: its status; None if it was never polled.
    :param now: monotonic time in ms.
    :param timings: timeouts and intervals.
    """
    if status is None:
        return False
    return status.is_down or now - status.seen_at >= timings.unreachable_after


def is_lost(
    status: vmstatus.VmStatus | None, now: clock.Ms, timings: timing.Timing
) -> bool:
    """Tell whether a VM is lost.

    A refused connection is conclusive; a timeout is not.  A single missed
    read-back may be a lost packet, and the next one may still be in progress
    when the last answer becomes too old.  Two must have been missed.  They
    are counted by the times of the missed ones alone: after the last answer,
    this daemon may have paused and asked nothing.

    :param status: its status; None if it was never polled.
    :param now: monotonic time in ms.
    :param timings: timeouts and intervals.
    """
    if status is None or status.is_down:
        return status is not None
    if status.missed_since is None:
        return False
    missed_for = status.contacted_at - status.missed_since
    return (
        is_unreachable(status, now, timings)
        and missed_for >= timings.second_miss_after
    )


def lost_vms(
    group_record: record.GroupRecord,
    status_by_vm: dict[str, vmstatus.VmStatus],
    now: clock.Ms,
    timings: timing.Timing,
) -> tuple[str, ...]:
    """Return the lost VMs of a group.

    :param group_record: the group's stored record.
    :param status_by_vm: last read-back of each VM.
    :param now: monotonic time in ms.
    :param timings: timeouts and intervals.
    """
    return tuple(
        vm
        for vm in group_record.vms
        if is_lost(status_by_vm.get(vm), now, timings)
    )


def is_formed(
    group_record: record.GroupRecord, rank: int, reported: holding.Holding
) -> bool:
    """Tell whether an engine reports its place in the group.

    :param group_record: the group's stored record.
    :param rank: the engine's rank.
    :param reported: its read-back.
    """
    return (
        reported.group == group_record.name
        and reported.vms == group_record.vms
        and reported.rank == rank
        and reported.fence <= group_record.fence
    )


def is_ready(
    group_record: record.GroupRecord, rank: int, reported: holding.Holding
) -> bool:
    """Tell whether an engine matches the record and is ready.

    The adapter and the role are not read back.  A fence equal to the
    record's shows that the engine accepted the order that sets them.

    :param group_record: the group's stored record.
    :param rank: the engine's rank.
    :param reported: its read-back.
    """
    return (
        is_formed(group_record, rank, reported)
        and reported.fence == group_record.fence
        and reported.state is holding.WeightsState.READY
        and reported.model == group_record.wanted.model
        and reported.version == group_record.wanted.version
    )


def observe(
    group_record: record.GroupRecord,
    status_by_vm: dict[str, vmstatus.VmStatus],
    now: clock.Ms,
    timings: timing.Timing,
) -> Observation:
    """Compare the read-backs of a group with its record.

    :param group_record: the group's stored record.
    :param status_by_vm: last read-back of each VM.
    :param now: monotonic time in ms.
    :param timings: timeouts and intervals.
    """
    lost = lost_vms(group_record, status_by_vm, now, timings)
    if lost:
        return Observation(event.Event.LOST, f"missing: {', '.join(lost)}")
    statuses = [status_by_vm.get(vm) for vm in group_record.vms]
    holdings = [each.holding for each in statuses if each and each.holding]
    if len(holdings) < len(group_record.vms):
        return Observation(
            event.Event.WAITING, "not every VM was read back yet"
        )
    return _compare(group_record, holdings)


def _compare(
    group_record: record.GroupRecord, holdings: list[holding.Holding]
) -> Observation:
    if group_record.phase is phase.Phase.FORMING:
        ahead = [
            each.vm for each in holdings if each.fence > group_record.fence
        ]
        if ahead:
            reason = f"saw a higher fence: {', '.join(ahead)}"
            return Observation(event.Event.DIVERGED, reason)
        unfinished = [
            each.vm
            for rank, each in enumerate(holdings)
            if each.fence != group_record.fence
            or not is_formed(group_record, rank, each)
        ]
        return _converged_or_waiting(unfinished, "not formed yet")
    diverged = [
        each.vm
        for rank, each in enumerate(holdings)
        if not is_formed(group_record, rank, each)
    ]
    if diverged:
        reason = f"hold something else: {', '.join(diverged)}"
        return Observation(event.Event.DIVERGED, reason)
    unfinished = [
        each.vm
        for rank, each in enumerate(holdings)
        if not is_ready(group_record, rank, each)
    ]
    if group_record.phase is phase.Phase.LOADING or not unfinished:
        return _converged_or_waiting(unfinished, "loading")
    reason = f"not ready any more: {', '.join(unfinished)}"
    return Observation(event.Event.DIVERGED, reason)


def _converged_or_waiting(unfinished: list[str], reason: str) -> Observation:
    if not unfinished:
        return Observation(event.Event.CONVERGED, "all VMs match")
    return Observation(
        event.Event.WAITING, f"{reason}: {', '.join(unfinished)}"
    )
