"""A group that exists, as the planner sees it."""

from typing import NamedTuple


class GroupStatus(NamedTuple):
    """VMs of a group that are up, missing, or up and about to leave."""

    group: str
    declared: str
    domain: str
    up: tuple[str, ...]
    lost: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
