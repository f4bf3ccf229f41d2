"""The dependencies of a leader."""

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
    """Discard a log line."""


class Dependencies(NamedTuple):
    """The platform, the engines, the planner and the settings of a leader.

    ``holder`` identifies the process and its start, and must be unique to
    that start.  ``log`` is called with each log line.
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
