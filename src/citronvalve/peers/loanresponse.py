"""A keeper's answer to a borrower."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loankey


class SlotGrant(NamedTuple):
    """Slots lent of one limit; it may be none."""

    key: loankey.LoanKey
    slots: int


class LoanResponse(NamedTuple):
    """Loans that last ``span`` ms from the moment the ask was sent.

    The keeper counts from the later moment at which the ask arrived, so
    that the borrower always stops first, whatever the delay and without a
    common clock.
    """

    serial: int
    duration: clock.Ms
    grants: tuple[SlotGrant, ...]
