"""Estimates of service times by model, prompt and output length."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import work

#: Estimate without samples.  A value that is too low only admits the first
#: few requests; one that is too high would reject them, and no sample would
#: correct it.
_INITIAL_TIME: clock.Ms = 200

#: Smallest weight of a new sample: about the last ten answers count, which
#: adapts to a new version within seconds of load.
_GAIN = 0.1

#: Half-life of the old samples' weight.
_HALF_LIFE: clock.Ms = 60_000

#: Age of the last sample from which an estimate is ignored.  Otherwise one
#: that is too high would reject all such requests and never be corrected.
_MAX_AGE: clock.Ms = 20_000

#: A sample is capped at this many times the mean, so that one slow upstream
#: does not raise the model's estimate and get its requests rejected.
_MAX_SAMPLE_RATIO = 4.0

#: Mean deviations above the mean in the bound; with fewer, accepted
#: requests finish late.
_DEVIATIONS = 3.5


class Expected(NamedTuple):
    """Service time in ms: the mean, and a bound that nearly all keep."""

    mean: clock.Ms
    bound: clock.Ms


class _SizeStats:
    """Mean and mean deviation of one size class, in ms."""

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
    # Prefilling a token costs an engine a small part of decoding one.  Only
    # sizes without samples are scaled by this.
    return 1 + item.output_tokens + item.prompt_tokens / 16


class Estimator:
    """Predicts the service time of a request, without its wait.

    Sizes differ by a factor of a hundred: one mean over all of them would
    admit long requests that can't finish and reject short ones that can.
    """

    def __init__(self) -> None:
        self._stats_by_key: dict[tuple[str, int, int], _SizeStats] = {}
        self._unit_stats_by_model: dict[str, _SizeStats] = {}

    def predict(self, item: work.Work, now: clock.Ms) -> Expected:
        """Return the expected service time.

        :param item: the request.
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
        """Record a service time.

        :param item: the request.
        :param elapsed: ms since it was sent.
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
        # Powers of two give few size classes, each with frequent samples.
        prompt = item.prompt_tokens.bit_length()
        return item.model, prompt, item.output_tokens.bit_length()
