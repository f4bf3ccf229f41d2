"""Reads and writes that idle daemons ask of the platform.

Its limits are about 2,000 reads and several hundred writes a second for
the whole fleet; the slope over daemons and data centres says how far the
present ways carry.
"""

from collections.abc import Iterator
import pathlib
import tempfile
import time

import urllib3

from benchmarks import figure
from standins import deployment as deployments
from standins import fleet as fleets

#: Daemons and data centres of each run.
_SIZES = ((2, 1), (8, 1), (8, 2), (8, 4))
_SETTLE_SECONDS = 4.0
_SECONDS = 8.0


def run() -> Iterator[figure.Figure]:
    """Yield the rates at each size, one replica group a data centre."""
    for daemons, places in _SIZES:
        reads, writes = _rates(daemons, places)
        at = f"{daemons} daemons, {places} data centres"
        yield figure.Figure(f"reads, {at}", reads, "1/s")
        yield figure.Figure(f"writes, {at}", writes, "1/s")


def _rates(daemons: int, places: int) -> tuple[float, float]:
    names = tuple(f"place-{number}" for number in range(places))
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            made = deployments.Deployment(fleet, names)
            for name in names:
                made.vm(f"{name}-vm", name, f"{name}-rack")
                made.group(f"{name}-group", name, 1)
            made.daemons(daemons)
            made.start()
            time.sleep(_SETTLE_SECONDS)
            before = _counts(fleet.platform)
            time.sleep(_SECONDS)
            after = _counts(fleet.platform)
    return (
        (after["reads"] - before["reads"]) / _SECONDS,
        (after["writes"] - before["writes"]) / _SECONDS,
    )


def _counts(platform: str) -> dict[str, int]:
    return urllib3.request("GET", f"http://{platform}/counts").json()
