"""An upstream as the platform's list shows it."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.replicas import membership as memberships
from citronvalve.replicas import phase


class Runner(NamedTuple):
    """An entry of the list.

    ``start_id`` differs between two starts of a runner.  ``cold_until`` is
    monotonic ms, 0 when it is warm.  ``staged`` are the models on its host.
    ``list_version`` is the version of the list that last updated it.
    """

    id: str
    service: str
    address: str
    datacentre: str
    leaving: bool = False
    domain: str = ""
    slots: int = 1
    staged: tuple[str, ...] = ()
    membership: memberships.Membership | None = None
    cold_until: clock.Ms = 0
    start_id: int = 0
    list_version: int = 0

    @property
    def is_open_head(self) -> bool:
        """Return whether the runner takes the requests of a group."""
        held = self.membership
        return (
            held is not None
            and not held.rank
            and held.phase is phase.Phase.OPEN
        )
