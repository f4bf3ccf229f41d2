"""Slots that this daemon may use."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loankey


class Loan(NamedTuple):
    """Slots of a limit; ``until`` is this daemon's monotonic time in ms."""

    key: loankey.LoanKey
    slots: int
    expires_at: clock.Ms
