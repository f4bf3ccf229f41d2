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


def _say_nothing(_line: str) -> None:
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
    loads: loadslots.LoadSlots
    planner: planner.Planner
    time: clock.Clock
    held: invariant.Invariants
    spans: timing.Timing = timing.Timing()
    say: Callable[[str], None] = _say_nothing
