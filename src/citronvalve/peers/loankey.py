"""What slots are lent of."""

import enum
from typing import NamedTuple

import xxhash

#: Team limits are spread over this many lenders a data centre.  A borrower
#: asks each of them at most every two seconds; one lender of 52 borrowers
#: handles some 26 asks a second.
_TEAM_LENDERS = 4


class LoanKind(enum.IntEnum):
    """Which shared limit a loan belongs to."""

    COLD = 0
    TEAM = 1
    WEIGHTS = 2


class LoanKey(NamedTuple):
    """One limit.

    COLD: ``name`` is an upstream and ``start`` its start id, so that a loan
    of one start is void for the next.  TEAM: ``name`` is team, model and
    data centre, joined by ``/``.  WEIGHTS: ``name`` is the data centre.
    """

    kind: LoanKind
    name: str
    start_id: str = ""

    @property
    def lender_key(self) -> str:
        """Return the key that the lender is chosen by."""
        if self.kind is LoanKind.COLD:
            return f"upstream/{self.name}"
        if self.kind is LoanKind.TEAM:
            bucket = xxhash.xxh32_intdigest(self.name.encode()) % _TEAM_LENDERS
            return f"lender/{bucket}"
        return "lender/weights"
