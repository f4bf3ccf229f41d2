"""A first-fit planner, the baseline for comparisons."""

from citronvalve.groups import fleet
from citronvalve.groups import groupstatus
from citronvalve.groups import placement
from citronvalve.groups import plan
from citronvalve.groups import planner
from citronvalve.groups import repair


def surplus(current: fleet.Fleet) -> dict[str, str]:
    """Return the groups in excess of the declared replicas, with the reason.

    Groups with the most lost VMs go first, then the last by name.

    :param current: the current fleet.
    """
    replicas_by_declared = {n.declared: n.replicas for n in current.specs}
    kept_by_declared: dict[str, int] = {}
    reason_by_group = {}
    for each in sorted(current.groups, key=lambda s: (len(s.lost), s.group)):
        kept = kept_by_declared.get(each.declared, 0)
        if kept >= replicas_by_declared.get(each.declared, 0):
            reason_by_group[each.group] = "more groups than declared"
            continue
        kept_by_declared[each.declared] = kept + 1
    return reason_by_group


def repairs(
    broken: list[groupstatus.GroupStatus], free_by_domain: dict[str, list[str]]
) -> list[repair.Repair]:
    """Return repairs of groups, in the given order.

    :param broken: groups with lost or leaving VMs.
    :param free_by_domain: spare VMs; those that are used are removed.
    """
    planned = []
    for each in broken:
        free = free_by_domain.get(each.domain, [])
        outgoing = (*each.lost, *each.leaving)
        if len(free) < len(outgoing):
            continue
        spare_by_vm = {vm: free.pop(0) for vm in outgoing}
        planned.append(repair.Repair(each.group, spare_by_vm))
    return planned


class FirstFitPlanner(planner.Planner):
    """Uses the first domain with enough free VMs; never moves a group."""

    def plan(self, current: fleet.Fleet) -> plan.Plan:
        dissolved = surplus(current)
        free = {d: list(v) for d, v in sorted(current.free_by_domain.items())}
        kept = [each for each in current.groups if each.group not in dissolved]
        repaired = repairs(
            [each for each in kept if each.lost or each.leaving], free
        )
        placements = []
        for spec in current.specs:
            count = sum(each.declared == spec.declared for each in kept)
            for _ in range(spec.replicas - count):
                domain = next(
                    (d for d, v in free.items() if len(v) >= spec.size), None
                )
                if domain is None:
                    break
                vms = tuple(free[domain][: spec.size])
                del free[domain][: spec.size]
                placements.append(
                    placement.Placement(spec.declared, domain, vms)
                )
        return plan.Plan(tuple(placements), tuple(repaired), dissolved)
