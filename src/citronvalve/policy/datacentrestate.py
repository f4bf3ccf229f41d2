"""How a data centre leaves and comes back."""

import enum

from citronvalve.model import declared


class Phase(enum.Enum):
    """What a data centre may get."""

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

#: What a returning data centre gets first from this daemon: enough to
#: learn from, little enough to lose.
_FIRST_BOUND = 2


class DatacentreState:
    """One data centre as this daemon uses it.

    Made for a data centre that returns under load: its caches are cold and
    its links unproved, and the whole spill moving back at once would fail
    twice.  Each answer in its expected time raises its bound by one, so the
    share doubles with each round of answers and stands still when they
    stay out.

    :param state: what the table says.
    """

    def __init__(self, state: declared.ServiceState) -> None:
        out = state is declared.ServiceState.OUT
        self.phase = Phase.OUT if out else Phase.IN
        self.running = 0
        self._bound = _FIRST_BOUND
        self._slots = 0

    def apply_state(self, state: declared.ServiceState, slots: int) -> bool:
        """Apply the table; return whether the data centre comes back.

        :param state: what the table says.
        :param most: slots there; once shown to be borne, the return ends.
        """
        old, self.phase = self.phase, _NEXT[self.phase, state]
        self._slots = slots
        is_returning = old is Phase.OUT and self.phase is Phase.RETURNING
        if is_returning:
            self._bound = _FIRST_BOUND
        return is_returning

    @property
    def bound(self) -> float:
        """Return how many requests this daemon may have there."""
        if self.phase is Phase.OUT:
            return 0
        return self._bound if self.phase is Phase.RETURNING else float("inf")

    def has_free_slot(self) -> bool:
        """Tell whether one more request may go there."""
        return self.running < self.bound

    def record_on_time(self) -> None:
        """Count an answer that came in its expected time."""
        if self.phase is Phase.RETURNING:
            self._bound += 1
            if self._bound >= self._slots:
                self.phase = Phase.IN
