"""Group states for routing."""

from citronvalve.groups import event
from citronvalve.groups import observation
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import state
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing


def group_state(
    group_record: record.GroupRecord,
    status_by_vm: dict[str, vmstatus.VmStatus],
    now: clock.Ms,
    timings: timing.Timing,
    invariants: invariant.Invariants,
) -> state.GroupState:
    """Return a group's state from its record and its VMs' read-backs.

    The record alone is not enough for a group to serve: since it was
    written, a VM may have died or accepted a late order.  Read-backs alone
    are not enough either: engines may not know yet that the group was
    dissolved.  The state is computed after each poll, about once a second,
    so that routing drops a group with a lost VM before its row is written,
    and even while the platform is down.

    :param group_record: the group's stored record.
    :param status_by_vm: last read-back of each VM.
    :param now: monotonic time in ms.
    :param timings: timeouts and intervals.
    :param invariants: where invariants are checked.
    """
    finding = observation.observe(group_record, status_by_vm, now, timings)
    statuses = [status_by_vm.get(vm) for vm in group_record.vms]
    seen_at = min((each.seen_at for each in statuses if each), default=0)
    effective_phase, reason = group_record.phase, group_record.reason
    if (
        effective_phase is phase.Phase.SERVING
        and finding.event is not event.Event.CONVERGED
    ):
        effective_phase, reason = phase.Phase.CLOSED, finding.reason
    if effective_phase is phase.Phase.SERVING:
        invariants.check(
            "no group serves with a VM missing",
            all(
                each
                and not observation.is_lost(each, now, timings)
                and each.holding
                for each in statuses
            ),
            f"{group_record.name}: {statuses}",
        )
    return state.GroupState(
        group=group_record.name,
        declared=group_record.declared,
        model=group_record.wanted.model,
        version=group_record.wanted.version,
        vms=group_record.vms,
        address=group_record.members[0].address,
        fence=group_record.fence,
        state=effective_phase,
        reason=reason,
        since=group_record.since,
        seen_at=seen_at,
    )


class Directory:
    """The last known group states, which expire by age.

    :param timings: timeouts and intervals.
    """

    def __init__(self, timings: timing.Timing) -> None:
        self._max_state_age = timings.max_state_age
        self._state_by_group: dict[str, state.GroupState] = {}

    def update(self, new_state: state.GroupState) -> None:
        """Store a state unless a later one is known.

        :param new_state: a state with ``seen_at`` in local monotonic time.
        """
        current = self._state_by_group.get(new_state.group)
        recency = (new_state.fence, new_state.seen_at)
        if current is None or (current.fence, current.seen_at) <= recency:
            self._state_by_group[new_state.group] = new_state

    def group(
        self, name: str, now: clock.Ms
    ) -> state.GroupState | missing.NotFound | missing.Stale:
        """Return a group that may receive requests.

        The state must be younger than the time limit for detecting a lost
        VM.  An older one may route requests to an incomplete group, as the
        polling process may have died just before a VM did.

        :param name: name of the group.
        :param now: monotonic time in ms.
        """
        current = self._state_by_group.get(name)
        if current is None:
            return missing.NotFound("no such group", name)
        if now - current.seen_at >= self._max_state_age:
            return missing.Stale("no recent read-back of its VMs", name)
        if current.state is not phase.Phase.SERVING:
            return missing.Stale(f"{current.state}: {current.reason}", name)
        return current

    def serving(self, now: clock.Ms) -> tuple[state.GroupState, ...]:
        """Return all groups that may receive requests.

        :param now: monotonic time in ms.
        """
        states = (self.group(name, now) for name in self._state_by_group)
        return tuple(each for each in states if each)

    def all_states(self) -> tuple[state.GroupState, ...]:
        """Return the last state of each group, for display."""
        return tuple(self._state_by_group.values())

    def remove_older(self, before: clock.Ms) -> None:
        """Remove groups that were last seen before a given time.

        :param before: monotonic time in ms.
        """
        self._state_by_group = {
            name: each
            for name, each in self._state_by_group.items()
            if each.seen_at >= before
        }
