"""Group downtime, stranded accelerators and planning time."""

from collections.abc import Callable
from collections.abc import Iterator
import time

from benchmarks import figure
from benchmarks import groupmonth
from citronvalve.groups import compact
from citronvalve.groups import firstfit
from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus
from tests.groups import world

_SEED = 11
#: Accelerators of a VM at the target: 48,000 over 12,000 runners.
_ACCELERATORS = 4
_HOURS = groupmonth.MONTH / 3_600
_RUNS = 5


def _domains(vms: int, domains: int) -> dict[str, int]:
    base, more = divmod(vms, domains)
    return {f"rack{n:02d}": base + (n < more) for n in range(domains)}


#: Today 65 runners stand in three data centres, 22 in the largest; sizes of
#: racks and groups there are ours to assume.  With ``full`` all groups that
#: fit are declared; with ``spare`` one rack's worth fewer, or one group.
_CASES = (
    groupmonth.Case("22 VMs, spare", _domains(22, 2), 4, 4),
    groupmonth.Case("22 VMs, full", _domains(22, 2), 5, 4),
    groupmonth.Case("387 VMs, spare", _domains(387, 12), 8, 44),
    groupmonth.Case("387 VMs, full", _domains(387, 12), 8, 48),
)


def run() -> Iterator[figure.Figure]:
    """Measure all, beside first-fit and the lower bounds."""
    for case in _CASES:
        yield from _month(case)
    yield _patience()
    yield from _one_lost()
    for vms in (387, 1_600):
        yield _planning(vms)


def _month(case: groupmonth.Case) -> Iterator[figure.Figure]:
    ours = groupmonth.Month(case, compact.CompactPlanner(), _SEED).play()
    plain = groupmonth.Month(case, firstfit.FirstFitPlanner(), _SEED).play()
    hours, accelerators = "group-hours a month", "accelerators"
    yield figure.Figure(
        f"{case.name}: group downtime beside first-fit",
        ours.closed * _HOURS,
        hours,
        plain.closed * _HOURS,
    )
    yield figure.Figure(
        f"{case.name}: group downtime beside the lower bound",
        ours.closed * _HOURS,
        hours,
        ours.closed_bound * _HOURS,
    )
    yield figure.Figure(
        f"{case.name}: stranded beside first-fit",
        ours.stranded * _ACCELERATORS,
        accelerators,
        plain.stranded * _ACCELERATORS,
    )
    yield figure.Figure(
        f"{case.name}: stranded beside the lower bound",
        ours.stranded * _ACCELERATORS,
        accelerators,
        ours.stranded_bound * _ACCELERATORS,
    )


def _patience() -> figure.Figure:
    """Wait ten minutes for a lost VM before a spare takes its place."""
    case = _CASES[2]
    waited = case._replace(patience=600.0)
    after, now = (
        groupmonth.Month(each, compact.CompactPlanner(), _SEED).play().closed
        for each in (waited, case)
    )
    return figure.Figure(
        f"{case.name}: group downtime, ten minutes' patience beside none",
        after * _HOURS,
        "group-hours a month",
        now * _HOURS,
    )


def _one_lost() -> Iterator[figure.Figure]:
    """Lose a VM with a spare beside it, at each tenth of a poll."""
    for how in ("killed", "dark"):
        found, back = [], []
        for phase in range(0, 1_000, 100):
            made = world.World({"a": 9}, 8, 1)
            made.start("x")
            made.run(30_000)
            (group,) = made.serving()
            engine = made.engine(group.vms[3])
            made.clock.advance(phase)
            lost_at = made.clock.now()
            engine.is_up, engine.is_dark = how != "killed", how == "dark"
            made.clock.advance(1_000 - phase)
            _until(made, lambda world: not world.serving())
            found.append(made.clock.now() - lost_at)
            _until(made, lambda world: world.serving())
            back.append(made.clock.now() - lost_at)
        load = engine.load_time
        yield figure.Figure(f"one VM {how}: detection", max(found), "ms", 3e3)
        yield figure.Figure(
            f"one VM {how}: downtime beside detection and load",
            max(back),
            "ms",
            max(found) + load,
        )


def _until(made: world.World, is_done: Callable[[world.World], bool]) -> None:
    made.step("x")
    while not is_done(made):
        made.clock.advance(1_000)
        made.step("x")


def _planning(vms: int) -> figure.Figure:
    domains = _domains(vms, max(1, vms // 32))
    groups = []
    free = {}
    for domain, count in domains.items():
        names = [f"{domain}-{n}" for n in range(count)]
        # One group of each rack lacks a VM, and a few VMs are spare.
        whole = count // 8
        for n in range(whole):
            mine = tuple(names[n * 8 : n * 8 + 8])
            lost = mine[:1] if n == 0 else ()
            groups.append(
                groupstatus.GroupStatus(
                    f"{domain}/{n}", "draft", domain, mine[len(lost) :], lost
                )
            )
        free[domain] = tuple(names[whole * 8 :])
    wanted = (groupspec.GroupSpec("draft", 8, len(groups)),)
    seen = fleet.Fleet(wanted, tuple(groups), free)
    empty = fleet.Fleet(
        wanted,
        (),
        {d: tuple(f"{d}-{n}" for n in range(c)) for d, c in domains.items()},
    )
    took = max(_took(seen), _took(empty))
    return figure.Figure(f"planning {vms} VMs", took, "ms")


def _took(seen: fleet.Fleet) -> float:
    took = []
    for _ in range(_RUNS):
        began = time.perf_counter()
        compact.CompactPlanner().plan(seen)
        took.append((time.perf_counter() - began) * 1_000)
    return min(took)
