"""What a leader works with."""

from collections.abc import Callable
from typing import NamedTuple

from citronvalve.groups import engines
from citronvalve.groups import loadslots
from citronvalve.groups import planner
from citronvalve.groups import timing
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.storage import tableservice
from citronvalve.storage import vmlist


def _discard_line(_line: str) -> None:
    """Take a line of the log and drop it."""


class Dependencies(NamedTuple):
    """The platform, the engines, the planner and the settings of a leader.

    ``holder`` names the process and this start of it; no two starts may
    share it.  ``say`` takes one line for the log.
    """

    datacentre: str
    holder: str
    table: tableservice.TableService
    vms: vmlist.VmList
    engines: engines.Engines
    load_slots: loadslots.LoadSlots
    planner: planner.Planner
    clock: clock.Clock
    invariants: invariant.Invariants
    timings: timing.Timing = timing.Timing()
    log: Callable[[str], None] = _discard_line
