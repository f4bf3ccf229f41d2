"""A declared group, as input of the planner."""

from typing import NamedTuple


class GroupSpec(NamedTuple):
    """``replicas`` replica groups of ``size`` VMs each."""

    declared: str
    size: int
    replicas: int
