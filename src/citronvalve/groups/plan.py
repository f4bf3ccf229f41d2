"""The output of a planner."""

from typing import NamedTuple

from citronvalve.groups import placement
from citronvalve.groups import repair


class Plan(NamedTuple):
    """New groups, repairs, and groups to dissolve with the reason."""

    placements: tuple[placement.Placement, ...] = ()
    repairs: tuple[repair.Repair, ...] = ()
    reason_by_dissolved: dict[str, str] = {}
