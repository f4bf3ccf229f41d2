"""The group and weights that an engine reports."""

import enum
from typing import NamedTuple


class WeightsState(enum.StrEnum):
    """Load state of an engine's shard of the weights."""

    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"


class Holding(NamedTuple):
    """The read-back of one engine.

    ``start_id`` changes with each start of the engine.  ``fence`` is the
    fencing token of the last order it accepted.
    """

    vm: str
    start_id: str
    fence: int
    group: str = ""
    vms: tuple[str, ...] = ()
    rank: int = 0
    model: str = ""
    version: str = ""
    state: WeightsState = WeightsState.EMPTY
