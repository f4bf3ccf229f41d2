"""How many groups operators want."""

from typing import NamedTuple


class GroupSpec(NamedTuple):
    """``replicas`` groups of ``size`` VMs each."""

    declared: str
    size: int
    replicas: int
