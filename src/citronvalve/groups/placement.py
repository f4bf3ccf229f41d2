"""A new group of a plan."""

from typing import NamedTuple


class Placement(NamedTuple):
    """VMs of one domain that are to be a group."""

    declared: str
    domain: str
    vms: tuple[str, ...]
