"""Slots that this daemon may use."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loankey


class Loan(NamedTuple):
    """Slots of a limit; ``expires_at`` is this daemon's monotonic ms."""

    key: loankey.LoanKey
    slots: int
    expires_at: clock.Ms
