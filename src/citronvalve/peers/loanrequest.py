"""A borrower's request for loans."""

from typing import NamedTuple

from citronvalve.peers import loankey


class SlotRequest(NamedTuple):
    """Slots requested of one limit."""

    key: loankey.LoanKey
    slots: int


class LoanRequest(NamedTuple):
    """All slots that a borrower requests of one lender."""

    serial: int
    slot_requests: tuple[SlotRequest, ...]
