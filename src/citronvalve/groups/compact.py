"""The planner in use: strands few accelerators and keeps spares spread."""

import collections

from citronvalve.groups import firstfit
from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus
from citronvalve.groups import placement
from citronvalve.groups import plan
from citronvalve.groups import planner

_MERGED = "its VMs complete another broken group of the domain"
_MOVED = "no spare in its domain, and another domain has room"


class CompactPlanner(planner.Planner):
    """Made for VMs lost one by one and whole domains going dark.

    A broken group without a spare strands all its VMs.  Three ways out are
    tried, the cheapest first: a spare of the domain (one VM loads), giving
    up another broken group of the domain for its VMs, and giving up the
    group for one in a domain with room (all VMs load).  Serving groups are
    never touched: moving one costs downtime and wins no VM.
    """

    def plan(self, seen: fleet.Fleet) -> plan.Plan:
        gone = firstfit.surplus(seen)
        free = {d: list(v) for d, v in sorted(seen.free_by_domain.items())}
        kept = [each for each in seen.standing if each.group not in gone]
        # Groups that lack the fewest VMs first: most groups come back for
        # the spares there are.
        broken = sorted(
            (each for each in kept if each.lost or each.leaving),
            key=lambda s: (not s.lost, len(s.lost), s.group),
        )
        mended = firstfit.repairs(broken, free)
        names = {each.group for each in mended}
        # A group that only has a VM about to leave serves until then.
        waiting = [
            each for each in broken if each.lost and each.group not in names
        ]
        merged = _merged(waiting, free)
        gone |= dict.fromkeys(merged, _MERGED)
        waiting = [each for each in waiting if each.group not in merged]
        kept = [each for each in kept if each.group not in gone]
        placements = _placements(seen.needs, kept, free)
        moved, more = _moved(seen.needs, waiting, kept, free)
        gone |= dict.fromkeys(moved, _MOVED)
        return plan.Plan((*placements, *more), tuple(mended), gone)


def _merged(
    waiting: list[groupstatus.GroupStatus], free: dict[str, list[str]]
) -> set[str]:
    # The VMs of a group given up are spare only after they were read back
    # empty, so this plan gives it up and a later one uses them.
    given_up = set()
    by_domain: dict[str, list[groupstatus.GroupStatus]] = {}
    for each in waiting:
        by_domain.setdefault(each.domain, []).append(each)
    for domain, groups in by_domain.items():
        spare = len(free.get(domain, ()))
        left = sorted(groups, key=lambda s: len(s.lost))
        while len(left) > 1 and spare < len(left[0].lost):
            last = left.pop()
            spare += len(last.up)
            given_up.add(last.group)
        if left and spare < len(left[0].lost):
            # Nothing is won: keep them all, and wait for their VMs.
            given_up -= {each.group for each in groups}
    return given_up


def _placements(
    needs: tuple[groupspec.GroupSpec, ...],
    kept: list[groupstatus.GroupStatus],
    free: dict[str, list[str]],
) -> list[placement.Placement]:
    placements = []
    where = collections.Counter((e.declared, e.domain) for e in kept)
    standing_by_declared = collections.Counter(e.declared for e in kept)
    # The largest first: small groups fit into what large ones leave.
    for each in sorted(needs, key=lambda n: (-n.size, n.declared)):
        count = standing_by_declared[each.declared]
        for _ in range(each.replicas - count):
            domain = _best_domain(each, needs, where, free)
            if domain is None:
                break
            vms = tuple(free[domain][: each.size])
            del free[domain][: each.size]
            where[each.declared, domain] += 1
            placements.append(placement.Placement(each.declared, domain, vms))
    return placements


def _best_domain(
    wanted: groupspec.GroupSpec,
    needs: tuple[groupspec.GroupSpec, ...],
    where: collections.Counter[tuple[str, str]],
    free: dict[str, list[str]],
) -> str | None:
    def cost(domain: str) -> tuple[int, int, int, str]:
        room = len(free[domain])
        # First the room lost to larger groups, which would strand VMs; then
        # replicas of the same group lost together with the domain; then
        # how few spares each group of the domain would have.
        lost = sum(
            room // other.size - (room - wanted.size) // other.size
            for other in needs
            if other.size > wanted.size
        )
        same = where[wanted.declared, domain]
        return lost, same, -(room - wanted.size), domain

    fitting = [d for d, vms in free.items() if len(vms) >= wanted.size]
    return min(fitting, key=cost, default=None)


def _moved(
    needs: tuple[groupspec.GroupSpec, ...],
    waiting: list[groupstatus.GroupStatus],
    kept: list[groupstatus.GroupStatus],
    free: dict[str, list[str]],
) -> tuple[list[str], list[placement.Placement]]:
    moved: list[str] = []
    placements: list[placement.Placement] = []
    need_by_name = {each.declared: each for each in needs}
    where = collections.Counter((e.declared, e.domain) for e in kept)
    # Those that lack most VMs first: they are the last to come back.
    for each in sorted(waiting, key=lambda s: -len(s.lost)):
        wanted = need_by_name[each.declared]
        domain = _best_domain(wanted, needs, where, free)
        if domain is None:
            continue
        vms = tuple(free[domain][: wanted.size])
        del free[domain][: wanted.size]
        where[each.declared, domain] += 1
        moved.append(each.group)
        placements.append(placement.Placement(each.declared, domain, vms))
    return moved, placements
