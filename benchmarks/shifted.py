"""What callers get on each stated work, calm and under troubles."""

from collections.abc import Iterator
import pathlib
import statistics

from benchmarks import figure
from tests.work import site
from tests.work import workfile

_FOLDER = pathlib.Path(__file__).parents[1] / "examples" / "work"
_SEEDS = 1, 2, 3

#: Changes of a work, by name.  The burst is that of its most frequent kind.
_TROUBLES = {
    "calm": {},
    "a data centre out": {
        "datacentre_out": 0,
        "out_begin": 5_000,
        "out_end": 14_000,
    },
    "burst": {},
}
_BURST_FACTOR, _BURST_BEGIN, _BURST_END = 1.8, 8_000, 14_000


def run() -> Iterator[figure.Figure]:
    """Yield the means over the seeds, by work and trouble."""
    for path in sorted(_FOLDER.glob("*.json5")):
        for trouble in _TROUBLES:
            for has_losses in (False, True):
                yield from _figures(path, trouble, has_losses)


def _figures(
    path: pathlib.Path, trouble: str, has_losses: bool
) -> Iterator[figure.Figure]:
    played = [_play(path, trouble, has_losses, seed) for seed in _SEEDS]
    losses = "losses" if has_losses else "no losses"
    name = f"{path.stem}, {trouble}, {losses}"
    for what, value in (
        ("worth", [one.results.worth() for one in played]),
        ("worst 2 s", [one.results.worst_window() for one in played]),
        ("worst kind", [one.results.worst_kind() for one in played]),
        ("sent elsewhere", [_remote_part(one) for one in played]),
        ("free runners", [statistics.mean(one.free) for one in played]),
    ):
        yield figure.Figure(f"{name}: {what}", statistics.mean(value), "")


def _play(
    path: pathlib.Path, trouble: str, has_losses: bool, seed: int
) -> site.Site:
    work = workfile.read(path)
    for name, value in _TROUBLES[trouble].items():
        setattr(work, name, value)
    if trouble == "burst":
        most = max(work.requests, key=lambda kind: kind.rate)
        work.bursts = [
            workfile.Burst(most.name, _BURST_FACTOR, _BURST_BEGIN, _BURST_END)
        ]
    if not has_losses:
        work.loss_interval = 0
    one = site.Site(work, seed)
    one.run()
    return one


def _remote_part(one: site.Site) -> float:
    return one.sent_locally[False] / max(1, one.sent_locally.total())
