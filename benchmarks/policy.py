"""The decisions under load: outcomes for callers, and what they cost."""

from collections.abc import Iterator
import random
import time

from benchmarks import figure
from benchmarks import fullscan
from benchmarks import outcomes
from benchmarks import scenario
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.policy import dispatcher
from citronvalve.policy import outcome
from citronvalve.policy import placement
from citronvalve.policy import work

_FLEETS = (65, 400, 1_600)
_PLACED = 2_000

#: A full scan takes milliseconds a request; fewer give its figure too.
_SCANNED = 300
_US = 1_000_000


def run() -> Iterator[figure.Figure]:
    """Yield the outcomes of each scenario, then the cost of placing."""
    for one in scenario.SCENARIOS:
        ours = outcomes.of(scenario.run(one, plain=False), one)
        plain = outcomes.of(scenario.run(one, plain=True), one)
        yield from _outcomes(one.name, ours, plain)
    two = [_cost(None, size, _PLACED) for size in _FLEETS]
    scan = [_cost(fullscan.FullScan(), n, _SCANNED) for n in _FLEETS]
    for size, ours, other in zip(_FLEETS, two, scan, strict=True):
        name = f"placing one request over {size} upstreams, full scan beside"
        yield figure.Figure(name, ours, "us", round(other, 1))
    growth = two[-1] / two[0]
    yield figure.Figure("growth of placing, 65 to 1600", growth, "times")


def _outcomes(
    name: str, ours: outcomes.Outcomes, plain: outcomes.Outcomes
) -> Iterator[figure.Figure]:
    yield _figure(f"{name}: on time", ours.on_time, plain.on_time)
    yield _figure(f"{name}: goodput", ours.goodput, plain.goodput)
    yield _figure(f"{name}: light on time", ours.light, plain.light)
    yield _figure(f"{name}: accepted late", ours.late, plain.late)
    yield _figure(f"{name}: accepted given up", ours.broken, plain.broken)
    yield _figure(f"{name}: fairness", ours.fairness, plain.fairness)
    yield _figure(f"{name}: wasted", ours.wasted, plain.wasted)
    yield _figure(f"{name}: refused", ours.refused, plain.refused)
    for at, part in enumerate(("p50", "p95", "p99")):
        yield figure.Figure(
            f"{name}: first token {part}",
            ours.first_token[at],
            "ms",
            plain.first_token[at],
        )
    yield figure.Figure(f"{name}: refusal told p99", ours.told, "ms")
    yield figure.Figure(
        f"{name}: most above what a cold upstream bears",
        ours.most_over,
        "requests",
        plain.most_over,
    )


def _figure(name: str, ours: float, plain: float) -> figure.Figure:
    return figure.Figure(name, ours, "share", round(plain, 4))


def _cost(chooser: placement.Placement | None, size: int, count: int) -> float:
    made = _fleet(chooser, size)
    rng = random.Random(3)
    spent = 0.0
    tickets: list[int] = []
    for number in range(count):
        item = work.Work(
            f"r{number}",
            f"t{number % 10}",
            "m",
            1_000_000,
            500,
            100,
            (f"p{rng.randrange(50)}",),
            f"f{number}",
        )
        began = time.process_time()
        verdict = made.submit(item, number)
        spent += time.process_time() - began
        tickets.append(verdict.ticket)
        # Up to half of the slots stay in use, as in a fleet under load.
        if len(tickets) > size * 4:
            ticket = tickets.pop(rng.randrange(len(tickets)))
            made.finished(ticket, outcome.Outcome.DONE, number)
    return spent / count * _US


def _fleet(
    chooser: placement.Placement | None, size: int
) -> dispatcher.Dispatcher:
    rows = {
        f"u{n}": declared.Upstream(
            f"u{n}",
            ("a", "b", "c")[n % 3],
            "10.0.0.1:80",
            declared.UpstreamKind.ENGINE,
            ("m",),
        )
        for n in range(size)
    }
    made = dispatcher.Dispatcher(
        "a", random.Random(1), invariant.Invariants(), chooser
    )
    made.apply_table(scenario.table()._replace(upstream_by_name=rows), 0)
    for name in rows:
        made.observe(load.LoadReport(name, "1", 0, 0, 8, 0), 0)
    return made
