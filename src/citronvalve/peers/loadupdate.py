"""One upstream's load as it travels between daemons."""

from typing import NamedTuple

from citronvalve.model import clock


class LoadUpdate(NamedTuple):
    """A load report with its age in place of its sender's clock.

    ``keeper`` measured it, and ``serial`` rises with each of its
    measurements, so that copies that took different ways compare.
    """

    upstream: str
    coordinator: str
    serial: int
    start_id: str
    running: int
    queued: int
    capacity: int
    age: clock.Ms
    vms_missing: tuple[str, ...] = ()
