"""What an engine says that it holds."""

import enum
from typing import NamedTuple


class WeightsState(enum.StrEnum):
    """How far an engine has come with its part of the weights."""

    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"


class Holding(NamedTuple):
    """The read-back of one engine.

    ``start_id`` changes with each start of the engine.  ``fence`` is that
    of the last order it took.
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
