"""A group in a plan whose VMs are replaced by spares."""

from typing import NamedTuple


class Repair(NamedTuple):
    """``spare_by_vm`` maps each VM to its replacement."""

    group: str
    spare_by_vm: dict[str, str]
