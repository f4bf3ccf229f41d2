"""A borrower's request for loans."""

from typing import NamedTuple

from citronvalve.peers import loankey


class SlotRequest(NamedTuple):
    """Slots wanted of one limit."""

    key: loankey.LoanKey
    slots: int


class LoanRequest(NamedTuple):
    """All that one borrower wants of one keeper."""

    serial: int
    slot_requests: tuple[SlotRequest, ...]
