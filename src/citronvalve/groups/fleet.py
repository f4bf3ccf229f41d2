"""All that a plan for one data centre depends on."""

from typing import NamedTuple

from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus


class Fleet(NamedTuple):
    """Needs, groups and free VMs; a free VM is up and unowned."""

    specs: tuple[groupspec.GroupSpec, ...]
    groups: tuple[groupstatus.GroupStatus, ...]
    free_by_domain: dict[str, tuple[str, ...]]
