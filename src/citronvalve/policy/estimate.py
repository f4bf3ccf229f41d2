"""Service times, measured by model, prompt length and output length."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import work

#: Guess before a size was measured.  Too low only lets the first few
#: requests in; too high would refuse them, and nothing would be measured.
_INITIAL_TIME: clock.Ms = 200

#: Gain of one new sample once a size has been seen often: about the last
#: ten answers count, which follows a new version within seconds of load.
_GAIN = 0.1

#: After this long without a sample half of the old ones' weight is gone.
_HALF_LIFE: clock.Ms = 60_000

#: After this long without a sample an estimate is no reason to refuse: one
#: that is too high would else refuse all such work and never be corrected.
_MAX_AGE: clock.Ms = 20_000

#: One sample counts for at most this many times the mean, so that a slow
#: upstream does not make the whole model look slow and its work refused.
_MAX_SAMPLE_RATIO = 4.0

#: Deviations above the mean that an answer is given to finish: with fewer,
#: accepted work finishes late.
_DEVIATIONS = 3.5


class Expected(NamedTuple):
    """Service time in ms: the mean, and one that nearly all stay under."""

    mean: clock.Ms
    bound: clock.Ms


class _SizeStats:
    """Mean and mean deviation of one size of work, in ms."""

    __slots__ = ("deviation", "mean", "samples", "updated_at")

    def __init__(self, mean: float, at: clock.Ms) -> None:
        self.mean = mean
        self.deviation = mean / 4
        self.samples = 1.0
        self.updated_at = at

    def record(self, took: float, now: clock.Ms) -> None:
        self.samples *= 0.5 ** ((now - self.updated_at) / _HALF_LIFE)
        gain = max(_GAIN, 1 / (self.samples + 1))
        took = min(took, self.mean * _MAX_SAMPLE_RATIO)
        off = took - self.mean
        self.mean += gain * off
        self.deviation += gain * (abs(off) - self.deviation)
        self.samples += 1
        self.updated_at = now


def _work_units(item: work.Work) -> float:
    # Reading a prompt token costs an engine a small part of what writing
    # one costs; only sizes never seen before are scaled by this.
    return 1 + item.output_tokens + item.prompt_tokens / 16


class Estimator:
    """Predicts how long work takes once it has a slot.

    Made for traffic whose sizes differ a hundredfold: one mean over all
    would admit long work that can't finish and refuse short work that can.
    """

    def __init__(self) -> None:
        self._stats_by_key: dict[tuple[str, int, int], _SizeStats] = {}
        self._unit_stats_by_model: dict[str, _SizeStats] = {}

    def predict(self, item: work.Work, now: clock.Ms) -> Expected:
        """Return how long the work takes.

        :param item: the work.
        :param now: monotonic ms.
        """
        size = self._stats_by_key.get(self._key(item))
        if size is not None and now - size.updated_at < _MAX_AGE:
            spread = _DEVIATIONS * size.deviation
            return Expected(round(size.mean) or 1, round(size.mean + spread))
        unit = self._unit_stats_by_model.get(item.model)
        if unit is None or now - unit.updated_at >= _MAX_AGE:
            return Expected(_INITIAL_TIME, _INITIAL_TIME)
        mean = round(unit.mean * _work_units(item)) or 1
        return Expected(mean, min(mean, _INITIAL_TIME))

    def record(
        self, item: work.Work, elapsed: clock.Ms, now: clock.Ms
    ) -> None:
        """Take in one answer.

        :param item: the work that was done.
        :param took: ms from sending to the whole answer.
        :param now: monotonic ms.
        """
        self._add(self._stats_by_key, self._key(item), elapsed, now)
        units = elapsed / _work_units(item)
        self._add(self._unit_stats_by_model, item.model, units, now)

    @staticmethod
    def _add(by_key: dict, key: object, elapsed: float, now: clock.Ms) -> None:
        size = by_key.get(key)
        if size is None:
            by_key[key] = _SizeStats(elapsed, now)
        else:
            size.record(elapsed, now)

    @staticmethod
    def _key(item: work.Work) -> tuple[str, int, int]:
        # Powers of two: few enough sizes that each is measured often.
        prompt = item.prompt_tokens.bit_length()
        return item.model, prompt, item.output_tokens.bit_length()
