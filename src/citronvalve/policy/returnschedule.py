"""When refused callers of one replica pool are asked to come back."""

from citronvalve.model import clock

#: Excess that ends for longer than this is followed by another one.
_PAUSE: clock.Ms = 500

#: Assumed duration of the first excess.
_FIRST_DURATION: clock.Ms = 1_000

#: Part of the room that becomes free which callers that come back may take.
_RETURNS_PART = 0.2

#: Callers for whom there is no room in time come back after this part of the
#: most that they may wait: earlier they would take the place of others.
_OVERFLOW_PART = 0.85


class ReturnSchedule:
    """Spreads the returns of this daemon's refused callers over time.

    The first returns when the excess is expected to end by the duration of
    earlier ones, and the next ones as fast as there is room for them.
    """

    def __init__(self) -> None:
        self._next_at = 0.0
        self._began_at: clock.Ms | None = None
        self._seen_at: clock.Ms = 0
        self._duration = float(_FIRST_DURATION)

    def record_excess(self, now: clock.Ms) -> None:
        """Record that the pool has no room for all who ask.

        :param now: monotonic ms.
        """
        if self._began_at is None:
            self._began_at = now
        elif now - self._seen_at > _PAUSE:
            lasted = self._seen_at - self._began_at
            self._duration = (self._duration + lasted) / 2
            self._began_at = now
        self._seen_at = now

    def remaining(self, now: clock.Ms) -> float:
        """Return the ms for which the excess is expected to last.

        :param now: monotonic ms.
        """
        if self._began_at is None or now - self._seen_at > _PAUSE:
            return 0.0
        return max(0.0, self._began_at + self._duration - now)

    def schedule(
        self,
        free_rate: float,
        earliest: float,
        latest: float,
        chance: float,
        now: clock.Ms,
    ) -> float:
        """Return the ms after which a refused caller comes back.

        :param free_rate: slots that become free for this daemon, a ms.
        :param earliest: least ms.
        :param latest: most ms; those who would have to wait longer are spread
            over the end of this time.
        :param chance: a number from 0 to 1.
        :param now: monotonic ms.
        """
        begin = now + max(earliest, self.remaining(now))
        at = max(self._next_at, begin)
        interval = 1 / max(1e-6, _RETURNS_PART * free_rate)
        wait = at - now + chance * interval
        if wait > latest:
            least = max(min(begin - now, latest), _OVERFLOW_PART * latest)
            wait = least + (latest - least) * chance
        else:
            self._next_at = at + interval
        return wait
