"""All that a plan for one data centre depends on."""

from typing import NamedTuple

from citronvalve.groups import need
from citronvalve.groups import standing


class Fleet(NamedTuple):
    """Needs, groups and free VMs; a free VM is up and unowned."""

    needs: tuple[need.Need, ...]
    standing: tuple[standing.Standing, ...]
    free_by_domain: dict[str, tuple[str, ...]]
