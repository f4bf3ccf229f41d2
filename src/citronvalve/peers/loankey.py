"""Identifies a shared limit whose slots are lent."""

import enum
from typing import NamedTuple

import xxhash

#: Lenders of team limits in a data centre.  A borrower renews with each of
#: them every two seconds, so a lender of 52 borrowers handles about 26
#: requests a second.
_TEAM_LENDERS = 4


class LoanKind(enum.IntEnum):
    """Kind of a shared limit."""

    COLD = 0
    TEAM = 1
    WEIGHTS = 2


class LoanKey(NamedTuple):
    """A shared limit.

    COLD: ``name`` is an upstream and ``start_id`` its start id, so that a
    loan is void after the upstream restarts.  TEAM: ``name`` is team, model
    and data centre, joined by ``/``.  WEIGHTS: ``name`` is the data centre.
    """

    kind: LoanKind
    name: str
    start_id: str = ""

    @property
    def lender_key(self) -> str:
        """Return the rendezvous key by which the lender is chosen."""
        if self.kind is LoanKind.COLD:
            return f"upstream/{self.name}"
        if self.kind is LoanKind.TEAM:
            bucket = xxhash.xxh32_intdigest(self.name.encode()) % _TEAM_LENDERS
            return f"lender/{bucket}"
        return "lender/weights"
