"""How long an edit takes to be in force on eight real daemons."""

from collections.abc import Iterator
import pathlib
import random
import signal
import tempfile
import time

import urllib3

from benchmarks import figure
from citronvalve.model import clock
from citronvalve.peers import rendezvous
from citronvalve.storage import client
from citronvalve.storage import httptable
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


class _Drill:
    """Edits the table, and sees when that is in force on every daemon.

    :param fleet: the daemons.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._pool = urllib3.PoolManager(num_pools=_DAEMONS)
        self._chance = random.Random(1)
        self._weight = 100
        platform = client.PlatformClient(fleet.platform)
        table = httptable.HttpTable(platform)
        self._editor = editor.Editor(table, clock.SystemClock(), self._chance)

    def pause(self) -> None:
        """Wait, so that an edit falls anywhere between two looks."""
        time.sleep(self._chance.uniform(*_APART))

    def edit(self) -> float:
        """Return ms from the commit of an edit until all have it."""
        self._weight = self._weight % 900 + 1
        key = f"teams/{deployments.TEAM}"
        wanted = rowedits.set_columns(key, {"weight": self._weight})
        done = self._editor.apply(wanted, edit.Author("bench", "bench"))
        if not isinstance(done, edit.Accepted):
            raise RuntimeError(f"the edit failed: {done}")
        return self._until(done.version, time.monotonic())

    def kill_watcher(self) -> None:
        """Kill the first watcher of a data centre that has two daemons."""
        for name, addresses in self._fleet.addresses_by_daemon.items():
            alive = self._status(addresses)["peers"]["alive"]
            if len(alive) > 1 and rendezvous.first("watcher", alive) == name:
                process = self._fleet.process_by_name[name]
                process.send(signal.SIGKILL)
                process.wait()
                del self._fleet.addresses_by_daemon[name]
                return

    def _until(self, version: int, began: float) -> float:
        left = list(self._fleet.addresses_by_daemon.values())
        while left and time.monotonic() - began < _GIVE_UP:
            if self._status(left[0])["table_version"] >= version:
                left.pop(0)
            else:
                time.sleep(_LOOK)
        if left:
            raise RuntimeError(f"not in force at {left}")
        return (time.monotonic() - began) * _MS

    def _status(self, addresses: fleets.DaemonAddresses) -> dict:
        url = f"http://{addresses.operators}/status"
        return self._pool.request("GET", url).json()


def _edits(drill: _Drill) -> Iterator[float]:
    for _ in range(_EDITS):
        drill.pause()
        yield drill.edit()


def _kills(drill: _Drill) -> Iterator[float]:
    for _ in _PLACES:
        drill.pause()
        drill.kill_watcher()
        yield drill.edit()


def _quantile(found: list[float], share: float) -> float:
    return sorted(found)[min(len(found) - 1, int(share * len(found)))]


def run() -> Iterator[figure.Figure]:
    """Yield how long edits took until all daemons had them."""
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            made = deployments.Deployment(fleet, _PLACES)
            made.daemons(_DAEMONS)
            made.start()
            drill = _Drill(fleet)
            found = list(_edits(drill))
            killed = list(_kills(drill))
    name = f"edit in force on {_DAEMONS} daemons"
    for share in (0.5, 0.99):
        value = _quantile(found, share)
        yield figure.Figure(f"{name}, p{share * 100:.0f}", value, "ms")
    yield figure.Figure(f"{name}, worst of {len(found)}", max(found), "ms")
    name = "the same right after a watcher was killed"
    yield figure.Figure(f"{name}, worst of {len(killed)}", max(killed), "ms")
