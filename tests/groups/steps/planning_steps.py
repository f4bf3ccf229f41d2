"""Steps about plans."""

import random

import behave

from citronvalve.groups import compact
from citronvalve.groups import firstfit
from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus

_PLANNERS = {
    "compact": compact.CompactPlanner(),
    "firstfit": firstfit.FirstFitPlanner(),
}
_GROUP_SIZE = 4


def _split(text):
    return [] if text == "none" else text.split()


@behave.given("free VMs {free} and declared groups {declared}")
def step_free(context, free, declared):
    pairs = [word.split(":") for word in _split(free)]
    context.free = {
        domain: tuple(f"{domain}{n}" for n in range(int(count)))
        for domain, count in pairs
    }
    sizes = [word.split("x") for word in declared.split()]
    context.specs = tuple(
        groupspec.GroupSpec(f"of{size}", int(size), int(count))
        for size, count in sizes
    )
    context.groups = ()


@behave.given("existing groups {groups}")
def step_groups(context, groups):
    context.groups = tuple(
        _group_status(number, word)
        for number, word in enumerate(groups.split())
    )


def _group_status(number, word):
    domain, counts = word.split(":")
    up, lost = (int(each) for each in counts.split("-"))
    vms = tuple(f"{domain}-{number}-{n}" for n in range(up + lost))
    return groupstatus.GroupStatus(
        str(number), f"of{_GROUP_SIZE}", domain, vms[:up], vms[up:]
    )


@behave.when("{planner} plans")
def step_plan(context, planner):
    seen = fleet.Fleet(context.specs, context.groups, context.free)
    context.plan = _PLANNERS[planner].plan(seen)


@behave.then("groups are placed in {placed}")
def step_placed(context, placed):
    found = [each.domain for each in context.plan.placements]
    assert found == ([] if placed == "nowhere" else placed.split()), found


@behave.then("repaired are {repaired}, dissolved are {dissolved}")
def step_repaired(context, repaired, dissolved):
    found = [each.group for each in context.plan.repairs]
    wanted = [] if repaired == "none" else [repaired]
    # Groups are named by their position in the list of existing groups.
    assert found == wanted, context.plan
    found = sorted(context.plan.reason_by_dissolved)
    assert found == _split(dissolved), context.plan


def _random_fleet(chance):
    domains = "abcd"[: chance.randint(1, 4)]
    free = {
        domain: tuple(f"{domain}{n}" for n in range(chance.randint(0, 9)))
        for domain in domains
    }
    groups = tuple(
        _group_status(
            number, f"{chance.choice(domains)}:{_GROUP_SIZE - lost}-{lost}"
        )
        for number, lost in enumerate(
            chance.choice([0, 0, 1, 2]) for _ in range(chance.randint(0, 5))
        )
    )
    needs = (
        groupspec.GroupSpec(
            f"of{_GROUP_SIZE}", _GROUP_SIZE, chance.randint(0, 8)
        ),
    )
    return fleet.Fleet(needs, groups, free)


@behave.when("random fleets are planned with both planners")
def step_random(context):
    chance = random.Random(6)
    context.planned = []
    for _ in range(2_000):
        seen = _random_fleet(chance)
        for name, planner in _PLANNERS.items():
            context.planned.append((name, seen, planner.plan(seen)))


@behave.then(
    "no VM is used twice, and no serving group is dissolved needlessly"
)
def step_once(context):
    for _, seen, plan in context.planned:
        used = [vm for each in plan.placements for vm in each.vms]
        used += [s for r in plan.repairs for s in r.spare_by_vm.values()]
        assert len(used) == len(set(used)), (seen, plan)
        whole = [each for each in seen.groups if not each.lost]
        given_up = [
            each for each in whole if each.group in plan.reason_by_dissolved
        ]
        surplus = max(0, len(whole) - seen.specs[0].replicas)
        assert len(given_up) == surplus, (seen, plan)


@behave.then("the compact planner forms as many groups as fit")
def step_maximal(context):
    for name, seen, plan in context.planned:
        if name != "compact":
            continue
        left = {
            domain: len(vms) for domain, vms in seen.free_by_domain.items()
        }
        for each in plan.placements:
            left[each.domain] -= len(each.vms)
        for each in plan.repairs:
            domain = each and next(
                s.domain for s in seen.groups if s.group == each.group
            )
            left[domain] -= len(each.spare_by_vm)
        kept = len(seen.groups) - len(plan.reason_by_dissolved)
        is_short = kept + len(plan.placements) < seen.specs[0].replicas
        if is_short:
            assert all(count < _GROUP_SIZE for count in left.values()), (
                seen,
                plan,
            )
