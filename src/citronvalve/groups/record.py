"""The stored row of a group, which records the intent of its orders."""

from typing import NamedTuple

from citronvalve.groups import member
from citronvalve.groups import order
from citronvalve.groups import phase
from citronvalve.groups import wanted
from citronvalve.model import clock


class GroupRecord(NamedTuple):
    """A group as stored in the platform's table.

    The row is written before the orders that follow from it and defines
    them completely, so that any leader can repeat them.
    ``members`` are sorted by rank.
    ``fence`` increases with each write that orders follow from.
    ``attempt`` is the id of the transaction that wrote the row; it shows
    whether a write without an answer took effect.
    ``kind`` is the kind of order sent to each member.
    ``since`` is wall time in ms, for display.
    """

    name: str
    declared: str
    domain: str
    members: tuple[member.Member, ...]
    fence: int
    attempt: str
    phase: phase.Phase
    reason: str
    since: clock.Ms
    wanted: wanted.Wanted
    kind: order.OrderKind = order.OrderKind.FORM

    @property
    def vms(self) -> tuple[str, ...]:
        """Return the names of the VMs by rank."""
        return tuple(each.vm for each in self.members)
