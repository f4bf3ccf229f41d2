"""What an upstream reports of itself, with its age."""

from typing import NamedTuple

from citronvalve.model import clock


class LoadReport(NamedTuple):
    """One report of one upstream; it lags, and reports may disagree.

    ``start_id`` changes with each start: a new one means a cold start.
    ``bears`` is how many requests the upstream says it can hold now.
    ``seen_at`` is this daemon's monotonic time of the measurement in ms:
    a receiver subtracts the age that travels with a report.
    ``vms_missing`` names the VMs of its group that do not answer; one is
    enough to close it.
    """

    upstream: str
    start_id: str
    running: int
    queued: int
    capacity: int
    measured_at: clock.Ms
    vms_missing: tuple[str, ...] = ()
