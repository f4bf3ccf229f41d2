"""What the read-backs of a group's VMs say, compared with its record."""

from typing import NamedTuple

from citronvalve.groups import event
from citronvalve.groups import holding
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock


class Observation(NamedTuple):
    """An event, with the reason as operators read it."""

    event: event.Event
    reason: str


def is_silent(
    seen: vmstatus.VmStatus | None, now: clock.Ms, spans: timing.Timing
) -> bool:
    """Tell whether a VM's last read-back is too old to act on.

    :param seen: its last sighting; None when it was never asked.
    :param now: monotonic time in ms.
    :param spans: the limits.
    """
    if seen is None:
        return False
    return seen.is_down or now - seen.seen_at >= spans.unreachable_after


def is_lost(
    seen: vmstatus.VmStatus | None, now: clock.Ms, spans: timing.Timing
) -> bool:
    """Tell whether a VM is missing.

    A refused connection is certain.  Silence is not: a VM that left one
    read-back without an answer may have lost one packet, and the next one
    is not over when its last answer gets old.

    :param seen: its last sighting; None when it was never asked.
    :param now: monotonic time in ms.
    :param spans: the limits.
    """
    if seen is None or seen.is_down:
        return seen is not None
    unanswered = seen.contacted_at - seen.seen_at
    return is_silent(seen, now, spans) and unanswered > spans.second_miss_after


def lost_vms(
    known: record.GroupRecord,
    sighting_by_vm: dict[str, vmstatus.VmStatus],
    now: clock.Ms,
    spans: timing.Timing,
) -> tuple[str, ...]:
    """Return the VMs of a group that are missing.

    :param known: the group's record.
    :param sighting_by_vm: the last sightings.
    :param now: monotonic time in ms.
    :param spans: the limits.
    """
    return tuple(
        vm for vm in known.vms if is_lost(sighting_by_vm.get(vm), now, spans)
    )


def is_formed(
    known: record.GroupRecord, rank: int, held: holding.Holding
) -> bool:
    """Tell whether an engine knows its place in the group.

    :param known: the group's record.
    :param rank: the engine's rank.
    :param held: its read-back.
    """
    return (
        held.group == known.name
        and held.vms == known.vms
        and held.rank == rank
        and held.fence <= known.fence
    )


def is_ready(
    known: record.GroupRecord, rank: int, held: holding.Holding
) -> bool:
    """Tell whether an engine holds all that the record says.

    The fence must be the record's own: with it the adapter and the role,
    which are not read back, are those of the last order.

    :param known: the group's record.
    :param rank: the engine's rank.
    :param held: its read-back.
    """
    return (
        is_formed(known, rank, held)
        and held.fence == known.fence
        and held.state is holding.WeightsState.READY
        and held.model == known.wanted.model
        and held.version == known.wanted.version
    )


def observe(
    known: record.GroupRecord,
    sighting_by_vm: dict[str, vmstatus.VmStatus],
    now: clock.Ms,
    spans: timing.Timing,
) -> Observation:
    """Compare what the engines hold with a group's record.

    :param known: the group's record.
    :param sighting_by_vm: the last sightings.
    :param now: monotonic time in ms.
    :param spans: the limits.
    """
    lost = lost_vms(known, sighting_by_vm, now, spans)
    if lost:
        return Observation(event.Event.LOST, f"missing: {', '.join(lost)}")
    seen = [sighting_by_vm.get(vm) for vm in known.vms]
    held = [each.holding for each in seen if each and each.holding]
    if len(held) < len(known.vms):
        return Observation(
            event.Event.WAITING, "not every VM was read back yet"
        )
    return _compare(known, held)


def _compare(
    known: record.GroupRecord, held: list[holding.Holding]
) -> Observation:
    if known.phase is phase.Phase.FORMING:
        ahead = [each.vm for each in held if each.fence > known.fence]
        if ahead:
            reason = f"saw a higher fence: {', '.join(ahead)}"
            return Observation(event.Event.DIVERGED, reason)
        short = [
            each.vm
            for rank, each in enumerate(held)
            if each.fence != known.fence or not is_formed(known, rank, each)
        ]
        return _waiting(short, "not formed yet")
    strange = [
        each.vm
        for rank, each in enumerate(held)
        if not is_formed(known, rank, each)
    ]
    if strange:
        reason = f"hold something else: {', '.join(strange)}"
        return Observation(event.Event.DIVERGED, reason)
    short = [
        each.vm
        for rank, each in enumerate(held)
        if not is_ready(known, rank, each)
    ]
    if known.phase is phase.Phase.LOADING or not short:
        return _waiting(short, "loading")
    reason = f"not ready any more: {', '.join(short)}"
    return Observation(event.Event.DIVERGED, reason)


def _waiting(short: list[str], reason: str) -> Observation:
    if not short:
        return Observation(event.Event.CONVERGED, "all VMs match")
    return Observation(event.Event.WAITING, f"{reason}: {', '.join(short)}")
