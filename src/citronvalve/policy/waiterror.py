"""The error of predicted waits."""

from citronvalve.model import clock

#: Weight of one sample: about the last ten count.
_GAIN = 0.1

#: Half-life of the error.  Without a decay, the error of a bad period would
#: reject all requests that have to wait, and no new sample would correct it.
_HALF_LIFE: clock.Ms = 5_000

#: Number of mean deviations added to a prediction.
_DEVIATIONS = 2.0


class WaitError:
    """Tracks the error of predicted waits, as a margin for new ones.

    Covers what the prediction does not model: long requests on every slot,
    teams that start at once, slots that become unavailable.  A request
    accepted on too short a prediction is rejected only later, when its
    caller has lost time.
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._decayed_at: clock.Ms = 0

    def record(self, error: clock.Ms, now: clock.Ms) -> None:
        """Record a wait that is over.

        :param error: actual minus predicted wait in ms.
        :param now: monotonic ms.
        """
        self._decay(now)
        deviation = error - self._mean
        self._mean += _GAIN * deviation
        self._deviation += _GAIN * (abs(deviation) - self._deviation)

    def margin(self, now: clock.Ms) -> clock.Ms:
        """Return the ms to add to a predicted wait.

        :param now: monotonic ms.
        """
        self._decay(now)
        return max(0, round(self._mean + _DEVIATIONS * self._deviation))

    def _decay(self, now: clock.Ms) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / _HALF_LIFE)
        self._decayed_at = now
        self._mean *= factor
        self._deviation *= factor
