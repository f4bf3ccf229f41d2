"""Measure the areas named on the command line, or all of them.

Each area is a module here with ``run()``, which yields figures.
"""

import collections.abc
import importlib
import json
import pathlib
import sys
import types

from benchmarks import figure

_DIGITS = 4


def _module(name: str) -> types.ModuleType:
    return importlib.import_module(f"benchmarks.{name}")


def _areas() -> list[str]:
    # A module without run() is a part that several areas share.
    here = pathlib.Path(__file__).parent
    names = sorted(path.stem for path in here.glob("*.py"))
    return [name for name in names if hasattr(_module(name), "run")]


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
    yield from _module(area).run()


def main(names: list[str]) -> None:
    """Print one JSON object a line.

    :param names: areas to measure; none for all.
    """
    for area in names or _areas():
        for measured in _figures(area):
            print(_line(area, measured), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
