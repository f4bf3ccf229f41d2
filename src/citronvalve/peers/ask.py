"""A borrower's request for loans."""

from typing import NamedTuple

from citronvalve.peers import loankey


class Want(NamedTuple):
    """Slots wanted of one limit."""

    key: loankey.LoanKey
    slots: int


class Ask(NamedTuple):
    """All that one borrower wants of one keeper."""

    serial: int
    wants: tuple[Want, ...]
