"""Measure the areas named on the command line, or all of them.

Each area is a module here with ``run()``, which yields figures.
"""

import collections.abc
import importlib
import json
import pathlib
import sys

from benchmarks import figure

#: Modules that hold parts of measurements and are no area.
_PARTS = {"__init__", "baseline", "fakes", "figure", "run"}

_DIGITS = 4


def _areas() -> list[str]:
    here = pathlib.Path(__file__).parent
    return sorted({path.stem for path in here.glob("*.py")} - _PARTS)


def _line(area: str, measured: figure.Figure) -> str:
    ratio = measured.ratio
    return json.dumps(
        {
            "name": f"{area}: {measured.name}",
            "value": round(measured.value, _DIGITS),
            "unit": measured.unit,
            "baseline": measured.baseline,
            "ratio": None if ratio is None else round(ratio, _DIGITS),
        }
    )


def _figures(area: str) -> collections.abc.Iterator[figure.Figure]:
    yield from importlib.import_module(f"benchmarks.{area}").run()


def main(names: list[str]) -> None:
    """Print one JSON object a line.

    :param names: areas to measure; none for all.
    """
    for area in names or _areas():
        for measured in _figures(area):
            print(_line(area, measured), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
