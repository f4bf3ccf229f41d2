"""The load reported by an engine."""

from typing import NamedTuple


class EngineLoad(NamedTuple):
    """Requests held by an engine, and how many it can hold.

    ``vms_missing`` names VMs of its group that it cannot reach.
    """

    start_id: str
    running: int
    queued: int
    capacity: int
    vms_missing: tuple[str, ...] = ()
