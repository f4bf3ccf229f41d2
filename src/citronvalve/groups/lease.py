"""The stored row of a data centre's leader."""

from typing import NamedTuple


class Lease(NamedTuple):
    """Who plans for a data centre; ``term`` rises with each new holder.

    It only saves work: what keeps two leaders from giving one VM away twice
    is the condition on the VM's own row.
    """

    datacentre: str
    holder: str
    term: int
    attempt: str
