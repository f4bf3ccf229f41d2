"""A lender's response to a borrower."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loankey


class SlotGrant(NamedTuple):
    """Slots lent of one limit; may be 0."""

    key: loankey.LoanKey
    slots: int


class LoanResponse(NamedTuple):
    """Loans that last ``duration`` ms from when the request was sent.

    The lender counts from when the request arrived, which is later.  The
    borrower therefore always stops first, whatever the delay and without
    synchronized clocks.
    """

    serial: int
    duration: clock.Ms
    grants: tuple[SlotGrant, ...]
