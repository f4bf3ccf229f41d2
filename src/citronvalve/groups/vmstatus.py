"""When a VM was last heard of, and what it held then."""

from typing import NamedTuple

from citronvalve.groups import holding
from citronvalve.model import clock


class VmStatus(NamedTuple):
    """The last read-back of a VM.

    ``seen_at`` is the monotonic time before the question was sent.
    ``gone`` is set when the VM has refused a connection since.  ``asked_at``
    is when this leader last tried.
    """

    holding: holding.Holding | None
    seen_at: clock.Ms
    contacted_at: clock.Ms
    is_down: bool = False
