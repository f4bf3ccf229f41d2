"""How a data centre is taken out of service and returns."""

import enum

from citronvalve.model import declared


class Phase(enum.Enum):
    """Service states of a data centre."""

    IN = "in"
    OUT = "out"
    RETURNING = "returning"


_NEXT: dict[tuple[Phase, declared.ServiceState], Phase] = {
    (Phase.IN, declared.ServiceState.IN): Phase.IN,
    (Phase.IN, declared.ServiceState.OUT): Phase.OUT,
    (Phase.OUT, declared.ServiceState.IN): Phase.RETURNING,
    (Phase.OUT, declared.ServiceState.OUT): Phase.OUT,
    (Phase.RETURNING, declared.ServiceState.IN): Phase.RETURNING,
    (Phase.RETURNING, declared.ServiceState.OUT): Phase.OUT,
}

#: First bound on this daemon's requests at a returning data centre: enough
#: to get answers from, and few to lose.
_FIRST_BOUND = 2


class DatacentreState:
    """The state of one data centre and this daemon's requests there.

    A data centre that returns has cold caches and untested connections, and
    would fail again if all of its load moved back at once.  Each answer
    within its expected time raises the bound by one, so that the load
    doubles with each round of answers and stops growing without answers.

    :param state: the declared service state.
    """

    def __init__(self, state: declared.ServiceState) -> None:
        out = state is declared.ServiceState.OUT
        self.phase = Phase.OUT if out else Phase.IN
        self.running = 0
        self._bound = _FIRST_BOUND
        self._slots = 0

    def apply_state(self, state: declared.ServiceState, slots: int) -> bool:
        """Apply the declared state; return whether a return begins.

        :param state: the declared service state.
        :param slots: this daemon's share of the slots there; the return
            ends when the bound reaches it.
        """
        old, self.phase = self.phase, _NEXT[self.phase, state]
        self._slots = slots
        is_returning = old is Phase.OUT and self.phase is Phase.RETURNING
        if is_returning:
            self._bound = _FIRST_BOUND
        return is_returning

    @property
    def bound(self) -> float:
        """Return how many requests this daemon may run there."""
        if self.phase is Phase.OUT:
            return 0
        return self._bound if self.phase is Phase.RETURNING else float("inf")

    def has_free_slot(self) -> bool:
        """Return whether one more request may be sent there."""
        return self.running < self.bound

    def record_on_time(self) -> None:
        """Record an answer within its expected time."""
        if self.phase is Phase.RETURNING:
            self._bound += 1
            if self._bound >= self._slots:
                self.phase = Phase.IN
