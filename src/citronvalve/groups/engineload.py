"""The load that an engine reports of itself."""

from typing import NamedTuple


class EngineLoad(NamedTuple):
    """Requests held by an engine, and what it says that it bears.

    ``vms_missing`` names VMs of its group that it does not hear from.
    """

    start_id: str
    running: int
    queued: int
    capacity: int
    vms_missing: tuple[str, ...] = ()
