"""A circuit breaker for one upstream."""

import enum

from citronvalve.model import clock

#: Consecutive failures that open the circuit.  A healthy upstream may have
#: one or two when connections stop responding.
_FAILURES_TO_OPEN = 3

#: First wait before a probe, doubled at each failed probe.  A shorter wait
#: would use up callers' requests on an upstream that is still down.
_FIRST_WAIT: clock.Ms = 2_000

#: Longest wait, so that a recovered upstream is used again within 30 s.
_MAX_WAIT: clock.Ms = 30_000


class State(enum.Enum):
    """States of a circuit: which requests the upstream gets."""

    CLOSED = "closed"
    OPEN = "open"
    #: One request at a time, as a probe.
    HALF_OPEN = "half-open"


class Event(enum.Enum):
    """Events that cause a transition."""

    SUCCEEDED = "succeeded"
    TRIPPED = "tripped"
    WAIT_ELAPSED = "waited"


_NEXT_STATE: dict[tuple[State, Event], State] = {
    (State.CLOSED, Event.SUCCEEDED): State.CLOSED,
    (State.CLOSED, Event.TRIPPED): State.OPEN,
    (State.CLOSED, Event.WAIT_ELAPSED): State.CLOSED,
    (State.OPEN, Event.SUCCEEDED): State.OPEN,
    (State.OPEN, Event.TRIPPED): State.OPEN,
    (State.OPEN, Event.WAIT_ELAPSED): State.HALF_OPEN,
    (State.HALF_OPEN, Event.SUCCEEDED): State.CLOSED,
    (State.HALF_OPEN, Event.TRIPPED): State.OPEN,
    (State.HALF_OPEN, Event.WAIT_ELAPSED): State.HALF_OPEN,
}


class Circuit:
    """The circuit breaker of one upstream.

    :ivar state: its current state.
    :ivar probe_at: when an open circuit may be probed, in monotonic ms.
    """

    __slots__ = ("_failures", "_wait", "probe_at", "state")

    def __init__(self) -> None:
        self.state = State.CLOSED
        self.probe_at: clock.Ms = 0
        self._failures = 0
        self._wait = _FIRST_WAIT

    def record_success(self) -> None:
        """Record an answer."""
        self._failures = 0
        self._move(Event.SUCCEEDED, 0)

    def record_failure(self, now: clock.Ms, fatal: bool) -> None:
        """Record a failure.

        :param now: monotonic ms.
        :param fatal: whether this failure alone opens the circuit, since the
            upstream is lost.
        """
        self._failures += 1
        probing = self.state is State.HALF_OPEN
        if fatal or probing or self._failures >= _FAILURES_TO_OPEN:
            self._move(Event.TRIPPED, now)

    def tick(self, now: clock.Ms) -> None:
        """Half-open an open circuit once its wait is over.

        :param now: monotonic ms.
        """
        if self.state is State.OPEN and now >= self.probe_at:
            self._move(Event.WAIT_ELAPSED, now)

    def _move(self, event: Event, now: clock.Ms) -> None:
        old, self.state = self.state, _NEXT_STATE[self.state, event]
        if old is not State.OPEN and self.state is State.OPEN:
            self.probe_at = now + self._wait
            self._wait = min(self._wait * 2, _MAX_WAIT)
        if old is State.HALF_OPEN and self.state is State.CLOSED:
            self._wait = _FIRST_WAIT
