"""A group of a plan that gets spare VMs."""

from typing import NamedTuple


class Repair(NamedTuple):
    """``spare_by_vm`` says which VM takes the place of which."""

    group: str
    spare_by_vm: dict[str, str]
