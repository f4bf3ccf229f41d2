"""A new group in a plan."""

from typing import NamedTuple


class Placement(NamedTuple):
    """VMs of one domain that are to form a group."""

    declared: str
    domain: str
    vms: tuple[str, ...]
