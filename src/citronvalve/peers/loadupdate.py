"""The load of an upstream as sent between daemons."""

from typing import NamedTuple

from citronvalve.model import clock


class LoadUpdate(NamedTuple):
    """A load report with its age instead of a time.

    ``coordinator`` measured it; ``serial`` rises with each of its
    measurements and orders copies that arrive by different paths.
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
