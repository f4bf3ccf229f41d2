"""Load reports of upstreams."""

from typing import NamedTuple

from citronvalve.model import clock


class LoadReport(NamedTuple):
    """One report of one upstream; it is delayed, and reports may disagree.

    ``start_id`` changes with each start: a new one means a cold start.
    ``capacity`` is how many requests the upstream says it can hold.
    ``measured_at`` is the time of the measurement in ms by this daemon's
    monotonic clock: a receiver subtracts the age sent with a report.
    ``vms_missing`` names the VMs of its group that do not answer; a single
    one closes the group.
    """

    upstream: str
    start_id: str
    running: int
    queued: int
    capacity: int
    measured_at: clock.Ms
    vms_missing: tuple[str, ...] = ()
