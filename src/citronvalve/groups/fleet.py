"""The planner's input for one data centre."""

from typing import NamedTuple

from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus


class Fleet(NamedTuple):
    """Declared groups, existing groups, and free VMs (up and unowned)."""

    specs: tuple[groupspec.GroupSpec, ...]
    groups: tuple[groupstatus.GroupStatus, ...]
    free_by_domain: dict[str, tuple[str, ...]]
