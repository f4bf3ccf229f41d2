"""How long an edit takes when a watcher was killed the moment before."""

from collections.abc import Iterator
import pathlib
import random
import signal
import tempfile
import time

from benchmarks import figure
from citronvalve.model import clock
from citronvalve.storage import client
from citronvalve.storage import httptable
from citronvalve.table import edit
from citronvalve.table import editor
from citronvalve.table import rowedits
from standins import deployment as deployments
from standins import fleet as fleets

_PLACES = ("sapporo", "hakodate", "otaru")
_DAEMONS = 8
_KILLS = 8
_LOOK = 0.005
_SETTLE = 8.0
_GIVE_UP = 20.0
_MS = 1_000


def _status(fleet: fleets.Fleet, name: str) -> dict:
    return fleets.status(fleet.addresses_by_daemon[name])


def _until(fleet: fleets.Fleet, names: list[str], version: int) -> float:
    began, left = time.monotonic(), list(names)
    while left and time.monotonic() - began < _GIVE_UP:
        if _status(fleet, left[0])["table_version"] >= version:
            left.pop(0)
        else:
            time.sleep(_LOOK)
    if left:
        raise RuntimeError(f"not in force at {left}")
    return (time.monotonic() - began) * _MS


def _kill(fleet: fleets.Fleet, chance: random.Random) -> str:
    names = list(fleet.addresses_by_daemon)
    watchers = [n for n in names if _status(fleet, n)["peers"]["watcher"]]
    name = chance.choice(watchers)
    fleet.process_by_name[name].send(signal.SIGKILL)
    fleet.process_by_name[name].wait()
    return name


def _measure(fleet: fleets.Fleet) -> Iterator[float]:
    chance = random.Random(1)
    table = httptable.HttpTable(client.PlatformClient(fleet.platform))
    operator = editor.Editor(table, clock.SystemClock(), chance)
    for number in range(_KILLS):
        # Until the daemon started again takes part as before.
        time.sleep(_SETTLE)
        name = _kill(fleet, chance)
        left = [n for n in fleet.addresses_by_daemon if n != name]
        wanted = rowedits.set_columns(
            f"teams/{deployments.TEAM}", {"weight": 100 + number}
        )
        done = operator.apply(wanted, edit.Author("bench", "bench"))
        if isinstance(done, edit.Accepted):
            yield _until(fleet, left, done.version)
        fleet.restart(name)
        fleet.wait_up()


def run() -> Iterator[figure.Figure]:
    """Yield how long edits took until all daemons left had them."""
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            made = deployments.Deployment(fleet, _PLACES)
            made.daemons(_DAEMONS)
            made.start()
            found = sorted(_measure(fleet))
    name = f"edit in force on {_DAEMONS - 1} daemons, a watcher just killed"
    yield figure.Figure(f"{name}, median", found[len(found) // 2], "ms")
    yield figure.Figure(f"{name}, worst of {len(found)}", found[-1], "ms")
