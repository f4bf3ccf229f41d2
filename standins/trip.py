"""A count of calls to the outside, at one of which something happens."""

from collections.abc import Callable


class KilledError(Exception):
    """The process under test died at this call."""


class Trip:
    """Runs an action at the n-th call, and nothing at the others.

    Each call is counted twice, before and after it takes effect, so that
    every point where a process can die or be paused has a number.

    :ivar calls: points passed so far.
    :ivar names: what was called at each point.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.names: list[str] = []
        self._at = -1
        self._action: Callable[[], None] | None = None

    def arm(self, at: int, action: Callable[[], None]) -> None:
        """Set the action.

        :param at: how many points from now; 0 is the next.
        :param action: run once, at that point.
        """
        self._at, self._action = self.calls + at, action

    def kill(self, at: int) -> None:
        """Let the process die.

        :param at: how many points from now.
        """
        self.arm(at, self._die)

    def _die(self) -> None:
        raise KilledError(self.names[-1])

    def point(self, name: str) -> None:
        """Pass a point.

        :param name: of the call, with ``before`` or ``after``.
        """
        self.names.append(name)
        at, self.calls = self.calls, self.calls + 1
        if at == self._at and self._action:
            action, self._action = self._action, None
            action()
