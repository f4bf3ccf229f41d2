"""A planner that minimizes stranded accelerators and spreads spares."""

import collections

from citronvalve.groups import firstfit
from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus
from citronvalve.groups import placement
from citronvalve.groups import plan
from citronvalve.groups import planner

_MERGE_REASON = "its VMs complete another broken group of the domain"
_MOVE_REASON = "no spare in its domain, and another domain has room"


class CompactPlanner(planner.Planner):
    """Handles the loss of single VMs and of whole domains.

    A broken group without a spare strands all its VMs.  Three remedies are
    tried, the cheapest first: a spare of the domain (one VM loads), giving
    up another broken group of the domain for its VMs, and replacing the
    group by one in a domain with enough free VMs (all VMs load).  Serving
    groups are never moved: that costs downtime and gains no VM.
    """

    def plan(self, current: fleet.Fleet) -> plan.Plan:
        dissolved = firstfit.surplus(current)
        free = {d: list(v) for d, v in sorted(current.free_by_domain.items())}
        kept = [each for each in current.groups if each.group not in dissolved]
        # Groups that lack the fewest VMs come first, so that the spares
        # repair as many groups as possible.
        broken = sorted(
            (each for each in kept if each.lost or each.leaving),
            key=lambda s: (not s.lost, len(s.lost), s.group),
        )
        repaired = firstfit.repairs(broken, free)
        names = {each.group for each in repaired}
        # A group whose VMs are only leaving, not lost, is still serving.
        unrepaired = [
            each for each in broken if each.lost and each.group not in names
        ]
        merged = _groups_to_merge(unrepaired, free)
        dissolved |= dict.fromkeys(merged, _MERGE_REASON)
        unrepaired = [each for each in unrepaired if each.group not in merged]
        kept = [each for each in kept if each.group not in dissolved]
        placements = _new_placements(current.specs, kept, free)
        moved, moved_placements = _groups_to_move(
            current.specs, unrepaired, kept, free
        )
        dissolved |= dict.fromkeys(moved, _MOVE_REASON)
        return plan.Plan(
            (*placements, *moved_placements), tuple(repaired), dissolved
        )


def _groups_to_merge(
    broken: list[groupstatus.GroupStatus], free: dict[str, list[str]]
) -> set[str]:
    # The VMs of a dissolved group are free only once they were read back
    # as empty, so this plan dissolves the group and a later one uses them.
    given_up = set()
    by_domain: dict[str, list[groupstatus.GroupStatus]] = {}
    for each in broken:
        by_domain.setdefault(each.domain, []).append(each)
    for domain, groups in by_domain.items():
        spare_count = len(free.get(domain, ()))
        remaining = sorted(groups, key=lambda s: len(s.lost))
        while len(remaining) > 1 and spare_count < len(remaining[0].lost):
            last = remaining.pop()
            spare_count += len(last.up)
            given_up.add(last.group)
        if remaining and spare_count < len(remaining[0].lost):
            # No group can be completed: keep all and wait for their VMs.
            given_up -= {each.group for each in groups}
    return given_up


def _new_placements(
    specs: tuple[groupspec.GroupSpec, ...],
    kept: list[groupstatus.GroupStatus],
    free: dict[str, list[str]],
) -> list[placement.Placement]:
    placements = []
    count_by_declared_and_domain = collections.Counter(
        (e.declared, e.domain) for e in kept
    )
    count_by_declared = collections.Counter(e.declared for e in kept)
    # The largest groups come first: small ones fit into the rest.
    for each in sorted(specs, key=lambda n: (-n.size, n.declared)):
        count = count_by_declared[each.declared]
        for _ in range(each.replicas - count):
            domain = _best_domain(
                each, specs, count_by_declared_and_domain, free
            )
            if domain is None:
                break
            vms = tuple(free[domain][: each.size])
            del free[domain][: each.size]
            count_by_declared_and_domain[each.declared, domain] += 1
            placements.append(placement.Placement(each.declared, domain, vms))
    return placements


def _best_domain(
    spec: groupspec.GroupSpec,
    specs: tuple[groupspec.GroupSpec, ...],
    count_by_declared_and_domain: collections.Counter[tuple[str, str]],
    free: dict[str, list[str]],
) -> str | None:
    def cost(domain: str) -> tuple[int, int, int, str]:
        free_count = len(free[domain])
        # Compared in this order: larger groups that would no longer fit,
        # which strands VMs; replicas of the same group in the domain, which
        # would be lost with it; and how few spares the domain would keep.
        lost = sum(
            free_count // other.size - (free_count - spec.size) // other.size
            for other in specs
            if other.size > spec.size
        )
        same = count_by_declared_and_domain[spec.declared, domain]
        return lost, same, -(free_count - spec.size), domain

    fitting = [d for d, vms in free.items() if len(vms) >= spec.size]
    return min(fitting, key=cost, default=None)


def _groups_to_move(
    specs: tuple[groupspec.GroupSpec, ...],
    broken: list[groupstatus.GroupStatus],
    kept: list[groupstatus.GroupStatus],
    free: dict[str, list[str]],
) -> tuple[list[str], list[placement.Placement]]:
    moved: list[str] = []
    placements: list[placement.Placement] = []
    spec_by_name = {each.declared: each for each in specs}
    count_by_declared_and_domain = collections.Counter(
        (e.declared, e.domain) for e in kept
    )
    # Groups that lack the most VMs come first: they take longest to return.
    for each in sorted(broken, key=lambda s: -len(s.lost)):
        spec = spec_by_name[each.declared]
        domain = _best_domain(spec, specs, count_by_declared_and_domain, free)
        if domain is None:
            continue
        vms = tuple(free[domain][: spec.size])
        del free[domain][: spec.size]
        count_by_declared_and_domain[each.declared, domain] += 1
        moved.append(each.group)
        placements.append(placement.Placement(each.declared, domain, vms))
    return moved, placements
