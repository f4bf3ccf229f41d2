"""The planner beside fixed layouts, and with losses beside whole wants."""

from collections.abc import Iterator
import statistics

from benchmarks import figure
from tests.work import layouts
from tests.work import site

_SEEDS = range(1, 21)
_KINDS = "guidance", "explanation"
_WORKS = "wideslow", "deepwaves"


def run() -> Iterator[figure.Figure]:
    """Yield parts of the best fixed layout's worth, and shares in time."""
    for kind in _KINDS:
        yield from _doubled(kind)
    for name in _WORKS:
        yield from _losses(name)


def _doubled(kind: str) -> Iterator[figure.Figure]:
    parts = []
    stated = layouts.work("wideslow", kind, 0)
    for seed in _SEEDS:
        best = max(layouts.play(stated, seed, one) for one in layouts.FIXED)
        parts.append(layouts.play(stated, seed) / best)
    name = f"{kind} doubled: part of the best fixed layout's worth"
    yield figure.Figure(f"{name}, mean", statistics.mean(parts), "")
    yield figure.Figure(f"{name}, least", min(parts), "")


def _losses(name: str) -> Iterator[figure.Figure]:
    found, now = (
        [_play(name, seed, local_rooms) for seed in _SEEDS]
        for local_rooms in (False, True)
    )
    for kind in found[0]:
        before, after = (
            statistics.mean(
                one[kind].in_time / one[kind].asked for one in outcomes
            )
            for outcomes in (found, now)
        )
        yield figure.Figure(
            f"{name}, losses: {kind} in time", after, "", before
        )


def _play(name: str, seed: int, local_rooms: bool):
    played = site.Site(layouts.read(name), seed, local_rooms)
    played.run()
    return played.results.outcomes()
