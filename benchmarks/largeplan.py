"""The planner under the losses of a large site, and what a plan costs."""

from collections.abc import Iterator
import statistics
import time

from benchmarks import figure
from citronvalve.replicas import lease
from citronvalve.replicas import membership
from citronvalve.replicas import phase
from citronvalve.replicas import planner
from citronvalve.replicas import runner as runners
from tests.replicas import largesite
from tests.replicas import world

_ROUNDS = 9
_DOMAINS = 3, 12, 25

#: 12,000 runners are too many for the simulated runners: plans alone.
_TARGET_DOMAINS = 343
_PLANS = 30
_PLAN_INTERVAL = 100

#: One runner of so many is suspected, as after losses.
_SUSPECTED_PART = 50


def run() -> Iterator[figure.Figure]:
    """Yield replicas, free runners and the cost of a plan, by size."""
    for domains in _DOMAINS:
        yield from _losses(domains)
    for domains in (*_DOMAINS, _TARGET_DOMAINS):
        yield from _plans(domains)


def _losses(domains: int) -> Iterator[figure.Figure]:
    site = largesite.LargeSite(domains)
    site.form()
    formed = site.state()
    site.lose(_ROUNDS)
    name = f"{domains * largesite.DOMAIN_SIZE} runners, {_ROUNDS} rounds"
    large = [state.large for state in site.states]
    small = [state.small for state in site.states]
    free = [state.free for state in site.states]
    violations = len(site.world.violations)
    for what, value, before in (
        ("large replicas, fewest", min(large), formed.large),
        ("large replicas, mean", statistics.mean(large), formed.large),
        ("small replicas, mean", statistics.mean(small), formed.small),
        ("free runners, most", max(free), formed.free),
        ("broken promises", violations, None),
    ):
        yield figure.Figure(f"{name}: {what}", value, "", before)
    mean = statistics.mean(site.plan_times)
    yield figure.Figure(f"{name}: a plan, mean", mean, "ms")
    most = max(site.plan_times)
    yield figure.Figure(f"{name}: a plan, most", most, "ms")


def _plans(domains: int) -> Iterator[figure.Figure]:
    runner_by_id = {
        runner.id: runner
        for domain in range(domains)
        for runner in _serving_domain(domain)
    }
    made = planner.Planner(
        world.spec(largesite.MODELS), world.STALL, lease.epochs(1)
    )
    times = []
    now = 1_000_000
    made.step(runner_by_id, now)
    for name in list(runner_by_id)[::_SUSPECTED_PART]:
        made.liveness.suspect(name)
    for _ in range(_PLANS):
        now += _PLAN_INTERVAL
        began = time.process_time()
        made.step(runner_by_id, now)
        times.append((time.process_time() - began) * 1_000)
    name = f"{len(runner_by_id)} runners, a fiftieth suspected: a plan"
    yield figure.Figure(f"{name}, mean", statistics.mean(times), "ms")
    yield figure.Figure(f"{name}, most", max(times), "ms")


def _serving_domain(domain: int) -> Iterator[runners.Runner]:
    """Yield a domain with its replicas open and the rest free."""
    sizes = [model.size for model in largesite.MODELS.values()]
    names = list(largesite.MODELS)
    small = (largesite.DOMAIN_SIZE - sizes[0]) // sizes[1]
    groups = [(names[0], sizes[0])] + [(names[1], sizes[1])] * small
    turn = 0
    for number, (model, size) in enumerate(groups):
        epoch = domain * 100 + number
        key = membership.GroupKey(f"{model}~{epoch}", epoch)
        for rank in range(size):
            at = phase.Phase.READY if rank else phase.Phase.OPEN
            held = membership.Membership(key, rank, at)
            yield _runner(domain, turn, held)
            turn += 1
    for free in range(turn, largesite.DOMAIN_SIZE):
        yield _runner(domain, free, None)


def _runner(
    domain: int, number: int, held: membership.Membership | None
) -> runners.Runner:
    return runners.Runner(
        f"r{domain}-{number}",
        "svc",
        "10.0.0.1:1",
        f"zone-{domain % largesite.DATACENTRES}",
        domain=f"d{domain}",
        staged=tuple(largesite.MODELS),
        membership=held,
        start_id=1,
        list_version=1,
    )
