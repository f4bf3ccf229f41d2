"""How much longer work waited than was predicted."""

from citronvalve.model import clock

#: Gain of one wait: about the last ten count.
_GAIN = 0.1

#: Half of what was learned is gone after this time.  Without it a bad
#: while would refuse all that has to wait, and never be seen to be over.
_HALF_LIFE: clock.Ms = 5_000

#: Deviations of the error that are added to a prediction.
_DEVIATIONS = 2.0


class WaitError:
    """The error of predicted waits, which prediction then adds.

    Made for loads that no formula foresees: long work on every slot, teams
    that start at once, slots that other causes take away.  Work accepted on
    too short a prediction is given up later, when its caller has lost time.
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._decayed_at: clock.Ms = 0

    def record(self, error: clock.Ms, now: clock.Ms) -> None:
        """Take in one wait that is over.

        :param error: ms that it lasted longer than predicted.
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
