"""How long an edit takes to be in force on eight real daemons."""

from collections.abc import Iterator
import pathlib
import random
import tempfile
import time

import urllib3

from benchmarks import figure
from citronvalve.model import clock
from citronvalve.platform import client
from citronvalve.platform import httptable
from citronvalve.table import edit
from citronvalve.table import editor
from citronvalve.table import rowedits
from standins import deployment as deployments
from standins import fleet as fleets

_PLACES = ("sapporo", "hakodate", "otaru")
_DAEMONS = 8
_EDITS = 100
_LOOK = 0.005
_GIVE_UP = 20.0
_MS = 1_000

#: Between edits, so that they fall anywhere between two looks, in s.
_APART = (0.05, 0.75)


class _Watch:
    """Sees when a version is in force on every daemon.

    :param fleet: the daemons.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._pool = urllib3.PoolManager(num_pools=_DAEMONS)
        self._urls = [
            f"http://{addresses.operators}/status"
            for addresses in fleet.addresses_by_daemon.values()
        ]

    def until(self, version: int, began: float) -> float:
        """Return ms since a moment until all have the version."""
        left = list(self._urls)
        while left and time.monotonic() - began < _GIVE_UP:
            told = self._pool.request("GET", left[0]).json()
            if told["table_version"] >= version:
                left.pop(0)
            else:
                time.sleep(_LOOK)
        if left:
            raise RuntimeError(f"not in force at {left}")
        return (time.monotonic() - began) * _MS


def _edits(fleet: fleets.Fleet, count: int) -> Iterator[float]:
    chance = random.Random(1)
    table = httptable.HttpTable(client.PlatformClient(fleet.platform))
    operator = editor.Editor(table, clock.SystemClock(), chance)
    watch = _Watch(fleet)
    for number in range(count):
        time.sleep(chance.uniform(*_APART))
        wanted = rowedits.setting(
            f"teams/{deployments.TEAM}", {"weight": 1 + number % 900}
        )
        done = operator.apply(wanted, edit.Author("bench", "bench"))
        began = time.monotonic()
        if isinstance(done, edit.Accepted):
            yield watch.until(done.version, began)


def _quantile(found: list[float], share: float) -> float:
    return sorted(found)[min(len(found) - 1, int(share * len(found)))]


def run() -> Iterator[figure.Figure]:
    """Yield how long edits took until all daemons had them."""
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            made = deployments.Deployment(fleet, _PLACES)
            made.daemons(_DAEMONS)
            made.start()
            found = list(_edits(fleet, _EDITS))
    name = f"edit in force on {_DAEMONS} daemons"
    for share in (0.5, 0.99):
        value = _quantile(found, share)
        yield figure.Figure(f"{name}, p{share * 100:.0f}", value, "ms")
    yield figure.Figure(f"{name}, worst of {len(found)}", max(found), "ms")
