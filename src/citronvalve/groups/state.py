"""The state of a group, as routing is told it."""

from typing import NamedTuple

from citronvalve.groups import phase
from citronvalve.model import clock


class GroupState(NamedTuple):
    """One group, whole, at one moment.

    ``address`` is that of rank 0, which takes the requests.  ``seen_at`` is
    when the VM heard of longest ago was heard of, in monotonic ms of the
    daemon that watched; between daemons its age travels.
    """

    group: str
    declared: str
    model: str
    version: str
    vms: tuple[str, ...]
    address: str
    fence: int
    state: phase.Phase
    reason: str
    since: clock.Ms
    seen_at: clock.Ms
