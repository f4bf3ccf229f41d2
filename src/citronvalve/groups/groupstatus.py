"""An existing group, as input of the planner."""

from typing import NamedTuple


class GroupStatus(NamedTuple):
    """VMs of a group that are up, lost, or up but leaving."""

    group: str
    declared: str
    domain: str
    up: tuple[str, ...]
    lost: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
