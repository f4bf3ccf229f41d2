"""The stored row of a data centre's leader lease."""

from typing import NamedTuple


class Lease(NamedTuple):
    """The holder of a leader lease; ``term`` increases with each new holder.

    The lease only avoids duplicate work.  The condition on the row of a VM
    is what keeps two leaders from assigning the VM twice.
    """

    datacentre: str
    holder: str
    term: int
    attempt: str
