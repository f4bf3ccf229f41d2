"""The planner under the losses of a large site, and what a plan costs."""

from collections.abc import Iterator
import statistics

from benchmarks import figure
from tests.replicas import largesite

_ROUNDS = 9
_DOMAINS = 3, 12, 25
#: 12,000 runners; formed and hit once, since the simulation of so many
#: takes minutes a round.
_TARGET_DOMAINS = 343


def run() -> Iterator[figure.Figure]:
    """Yield replicas, free runners and the cost of a plan, by size."""
    for domains in _DOMAINS:
        yield from _figures(domains, _ROUNDS)
    yield from _figures(_TARGET_DOMAINS, 1)


def _figures(domains: int, rounds: int) -> Iterator[figure.Figure]:
    site = largesite.LargeSite(domains)
    site.form()
    formed = site.state()
    site.lose(rounds)
    name = f"{domains * largesite.DOMAIN_SIZE} runners, {rounds} rounds"
    large = [state.large for state in site.states]
    small = [state.small for state in site.states]
    free = [state.free for state in site.states]
    yield figure.Figure(
        f"{name}: large replicas, fewest", min(large), "", formed.large
    )
    yield figure.Figure(
        f"{name}: large replicas, mean",
        statistics.mean(large),
        "",
        formed.large,
    )
    yield figure.Figure(
        f"{name}: small replicas, mean",
        statistics.mean(small),
        "",
        formed.small,
    )
    yield figure.Figure(
        f"{name}: free runners, most", max(free), "", formed.free
    )
    yield figure.Figure(
        f"{name}: a plan, mean", statistics.mean(site.plan_times), "ms"
    )
    yield figure.Figure(f"{name}: a plan, most", max(site.plan_times), "ms")
    violations = len(site.world.violations)
    yield figure.Figure(f"{name}: broken promises", violations, "")
