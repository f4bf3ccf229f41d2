"""The last known status of a VM."""

from typing import NamedTuple

from citronvalve.groups import holding
from citronvalve.model import clock


class VmStatus(NamedTuple):
    """The last read-back of a VM and the result of later attempts.

    ``seen_at`` is the monotonic time before the answered call was sent, or
    before the first call if none was answered.
    ``contacted_at`` is the monotonic time before the last call was sent.
    ``is_down`` means that since then the VM refused a connection, or another
    VM answered at its address.
    ``missed_since`` is the monotonic time before the first call without an
    answer was sent, or None if the last call was answered.
    """

    holding: holding.Holding | None
    seen_at: clock.Ms
    contacted_at: clock.Ms
    is_down: bool = False
    missed_since: clock.Ms | None = None
