"""The silent attempts of a request that may still go on."""

from collections.abc import Callable

from citronvalve.forward import attempt as attempts


class ParkedAttempts:
    """Reads silent attempts while another one is under way.

    The first that has something for the caller ends all others, so that
    events of two runs are never mixed.

    :param on_ended: called with an attempt that has ended without an answer.
    """

    def __init__(self, on_ended: Callable[[attempts.Attempt], None]) -> None:
        self._on_ended = on_ended
        self._attempts: list[attempts.Attempt] = []
        self._answering: attempts.Attempt | None = None

    def __bool__(self) -> bool:
        return bool(self._attempts)

    def add(self, attempt: attempts.Attempt) -> None:
        """Keep an attempt that has stalled.

        :param attempt: open.
        """
        self._attempts.append(attempt)

    def take(self) -> attempts.Attempt | None:
        """Return the attempt that is silent for the shortest time, if any."""
        return self._attempts.pop() if self._attempts else None

    def take_answering(self) -> attempts.Attempt | None:
        """Return the attempt of which the caller got something, if any."""
        answering, self._answering = self._answering, None
        return answering

    def read(self) -> bool:
        """Read what has arrived; return whether the caller got any of it."""
        for attempt in tuple(self._attempts):
            if attempt.read_arrived():
                self._attempts.remove(attempt)
                self._answering = attempt
                self.close()
                return True
            if not attempt.is_open:
                self._attempts.remove(attempt)
                self._on_ended(attempt)
        return False

    def close_where(
        self, is_hopeless: Callable[[attempts.Attempt], bool]
    ) -> None:
        """Close some of them.

        :param is_hopeless: returns whether to close an attempt.
        """
        hopeless = [one for one in self._attempts if is_hopeless(one)]
        for attempt in hopeless:
            self._attempts.remove(attempt)
            attempt.close()

    def close(self) -> None:
        """Close all of them, which ends the work at their upstreams."""
        while self._attempts:
            self._attempts.pop().close()
