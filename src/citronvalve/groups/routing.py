"""The state of each group as routing may use it."""

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


def state_of(
    known: record.GroupRecord,
    sighting_by_vm: dict[str, vmstatus.VmStatus],
    now: clock.Ms,
    spans: timing.Timing,
    held: invariant.Invariants,
) -> state.GroupState:
    """Return a group's state from its record and its VMs' own words.

    The record alone never makes a group serve: a VM may have died, or taken
    a late order, since it was written.  The engines alone neither: they may
    not know yet that the group was given up.  Made for each poll, about
    once a second, so that a group with a VM missing is out of routing
    before its row is written, and also while the platform is down.

    :param known: the group's record.
    :param sighting_by_vm: the last sightings.
    :param now: monotonic time in ms.
    :param spans: the limits.
    :param held: where promises are asserted.
    """
    found = observation.observe(known, sighting_by_vm, now, spans)
    seen = [sighting_by_vm.get(vm) for vm in known.vms]
    seen_at = min((each.seen_at for each in seen if each), default=0)
    shown, reason = known.phase, known.reason
    if (
        shown is phase.Phase.SERVING
        and found.event is not event.Event.CONVERGED
    ):
        shown, reason = phase.Phase.CLOSED, found.reason
    if shown is phase.Phase.SERVING:
        held.check(
            "no group serves with a VM missing",
            all(
                each
                and not observation.is_lost(each, now, spans)
                and each.holding
                for each in seen
            ),
            f"{known.name}: {seen}",
        )
    return state.GroupState(
        group=known.name,
        declared=known.declared,
        model=known.wanted.model,
        version=known.wanted.version,
        vms=known.vms,
        address=known.members[0].address,
        fence=known.fence,
        state=shown,
        reason=reason,
        since=known.since,
        seen_at=seen_at,
    )


class Directory:
    """The group states that a daemon was told, each with its age.

    :param spans: the limits; ``fresh`` is how old a state may be.
    """

    def __init__(self, spans: timing.Timing) -> None:
        self._fresh = spans.max_state_age
        self._state_by_group: dict[str, state.GroupState] = {}

    def tell(self, told: state.GroupState) -> None:
        """Take in a state, unless a later one is known.

        :param told: with ``seen_at`` in this daemon's monotonic time.
        """
        known = self._state_by_group.get(told.group)
        order = (told.fence, told.seen_at)
        if known is None or (known.fence, known.seen_at) <= order:
            self._state_by_group[told.group] = told

    def group(
        self, name: str, now: clock.Ms
    ) -> state.GroupState | missing.NotFound | missing.Stale:
        """Return a whole group that may be given work now.

        A remembered state is what sends work to half a group: the watcher
        may have died just before a VM did.  So the state must be younger
        than the bound on detection.

        :param name: of the group.
        :param now: monotonic time in ms.
        """
        known = self._state_by_group.get(name)
        if known is None:
            return missing.NotFound("no such group", name)
        if now - known.seen_at >= self._fresh:
            return missing.Stale("no VM of it was heard of lately", name)
        if known.state is not phase.Phase.SERVING:
            return missing.Stale(f"{known.state}: {known.reason}", name)
        return known

    def serving(self, now: clock.Ms) -> tuple[state.GroupState, ...]:
        """Return all groups that may be given work now.

        :param now: monotonic time in ms.
        """
        found = (self.group(name, now) for name in self._state_by_group)
        return tuple(each for each in found if each)

    def all(self) -> tuple[state.GroupState, ...]:
        """Return the last state of each group, for operators to read."""
        return tuple(self._state_by_group.values())

    def forget(self, before: clock.Ms) -> None:
        """Drop groups that nobody told of for long.

        :param before: monotonic time in ms.
        """
        self._state_by_group = {
            name: each
            for name, each in self._state_by_group.items()
            if each.seen_at >= before
        }
