"""The stored row of a group, which is also the intent of its orders."""

from typing import NamedTuple

from citronvalve.groups import member
from citronvalve.groups import order
from citronvalve.groups import phase
from citronvalve.groups import wanted
from citronvalve.model import clock


class GroupRecord(NamedTuple):
    """A group as the platform's table holds it.

    The row is written before any order that follows from it, and names
    every order in full: whoever reads it can repeat them.  ``members`` are
    in the order of their ranks.  ``fence`` rises with each write that
    orders follow from.  ``attempt`` is the id of the transaction that wrote
    the row, to settle a lost answer.  ``kind`` is the order that the phase
    gives to each member.  ``since`` is wall time in ms, for
    people to read.
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
