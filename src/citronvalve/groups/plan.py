"""What a planner decided."""

from typing import NamedTuple

from citronvalve.groups import placement
from citronvalve.groups import repair


class Plan(NamedTuple):
    """New groups, repairs, and groups to give up with the reason."""

    placements: tuple[placement.Placement, ...] = ()
    repairs: tuple[repair.Repair, ...] = ()
    reason_by_dissolved: dict[str, str] = {}
