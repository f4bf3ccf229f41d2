"""A picture of a soak: what callers got over time, and the faults."""

import collections

from standins.soak import run as runs
from standins.soak import schedule as schedules

_COLOUR_BY_END = {"200": "#4c9f70", "503": "#e0a030", "other": "#c04040"}


def draw(run: runs.Soak, path: str) -> None:
    """Write a picture; needs the optional dependency ``plots``.

    :param run: a soak that has ended.
    :param path: of the picture; its ending tells the format.
    """
    # Only whoever asks for a picture needs the library.
    from matplotlib import figure

    shown = figure.Figure(figsize=(10, 5), layout="constrained")
    served, faults = shown.subplots(2, 1, sharex=True)
    counts = _counts(run)
    bottom = [0] * len(next(iter(counts.values())))
    for end, by_second in counts.items():
        served.bar(
            range(len(by_second)),
            by_second,
            bottom=bottom,
            width=1.0,
            align="edge",
            color=_COLOUR_BY_END[end],
            label=end,
        )
        bottom = [a + b for a, b in zip(bottom, by_second, strict=True)]
    served.set_ylabel("requests ended a second")
    served.legend(loc="lower left")
    names = sorted({event.fault for event in run.events})
    for event in run.events:
        planned = event.fault in schedules.PLANNED
        colour = "#7080c0" if planned else "#c04040"
        row = names.index(event.fault)
        faults.barh(row, event.span, left=event.at, color=colour)
    faults.set_yticks(range(len(names)), names)
    faults.set_xlabel("seconds")
    for broken in run.book.broken:
        served.axvline(broken.at, color="black")
    shown.savefig(path)


def _counts(run: runs.Soak) -> dict[str, list[int]]:
    last = max((round(at) for at, _ in run.book.ended), default=0)
    found = {end: collections.Counter() for end in _COLOUR_BY_END}
    for at, how in run.book.ended:
        found[how if how in found else "other"][int(at)] += 1
    return {
        end: [counted[second] for second in range(last + 1)]
        for end, counted in found.items()
    }
