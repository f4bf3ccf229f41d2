"""The state of a group for routing."""

from typing import NamedTuple

from citronvalve.groups import phase
from citronvalve.model import clock


class GroupState(NamedTuple):
    """The state of a group at one moment.

    ``address`` is that of rank 0, which receives the requests.  ``seen_at``
    is the oldest ``seen_at`` of its VMs, in monotonic ms of the polling
    daemon; daemons send each other its age instead.
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
