"""Notices that the process did not run for a while."""

import eventlet

from citronvalve.model import clock

#: Time between two beats.
_BEAT: clock.Ms = 100

#: Beats this far apart are those of a process that did not run.
_MIN_PAUSE: clock.Ms = 400

#: Time after a pause in which what arrived meanwhile is still being read.
_SETTLE_TIME: clock.Ms = 1_000


class PauseWatch:
    """Tells whether what is read now may have arrived in a pause.

    :param time_source: the clock; times include suspensions of the VM.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._beat_at: clock.Ms | None = None
        self._paused_until: clock.Ms | None = None
        self._resumed_at: clock.Ms = 0

    def run(self) -> None:
        """Beat forever."""
        while True:
            self._beat()
            eventlet.sleep(_BEAT / clock.SECOND)

    def is_recent(self) -> bool:
        """Return whether the process stood still just now.

        After a pause sockets may be read before the next beat.
        """
        if self._beat_at is None:
            return False
        now = self._clock.boot()
        if now - self._beat_at >= _MIN_PAUSE:
            return True
        until = self._paused_until
        return until is not None and now - until < _SETTLE_TIME

    def resumed_at(self) -> clock.Ms:
        """Return when the last pause ended, in monotonic ms; 0 without one.

        One that ended just now is noticed by this call.
        """
        if self._beat_at is not None:
            self._beat()
        return self._resumed_at

    def _beat(self) -> None:
        now, before = self._clock.boot(), self._beat_at
        self._beat_at = now
        if before is not None and now - before >= _MIN_PAUSE:
            self._paused_until = now
            self._resumed_at = self._clock.now()
