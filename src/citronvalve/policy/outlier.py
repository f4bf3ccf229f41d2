"""Detection of upstreams that are much slower than the others."""

import collections.abc
import statistics

from citronvalve.model import clock

#: An upstream is an outlier when it is this many times slower than expected
#: and than its model's median.  Batching alone can double service times.
_SLOW_RATIO = 3.0

#: Samples needed for a decision; a single long answer is no evidence.
_MIN_SAMPLES = 3

#: Weight of one sample: three slow ones outweigh a good history.
_GAIN = 0.4

#: First ejection, doubled with each consecutive one.
_FIRST_EJECTION: clock.Ms = 10_000

#: Longest ejection, so that a recovered upstream is soon used again.
_MAX_EJECTION: clock.Ms = 120_000


class LatencyRatio:
    """The ratio of one upstream's service times to the expected ones.

    :ivar ratio: decayed mean of measured over expected time.
    :ivar ejected_until: when the ejection ends, in monotonic ms.
    """

    __slots__ = ("_next_ejection", "_samples", "ejected_until", "ratio")

    def __init__(self) -> None:
        self.ratio = 1.0
        self.ejected_until: clock.Ms = 0
        self._samples = 0
        self._next_ejection = _FIRST_EJECTION

    def record(self, ratio: float) -> None:
        """Record an attempt that was answered or is overdue.

        :param ratio: measured over expected time.
        """
        # One answer counts for no more than ten slow ones.
        self.ratio += _GAIN * (min(ratio, _SLOW_RATIO * 10) - self.ratio)
        self._samples += 1
        if self._samples > 10 * _MIN_SAMPLES and self.ratio < _SLOW_RATIO / 2:
            self._next_ejection = _FIRST_EJECTION

    def is_slow(self) -> bool:
        """Return whether it is slow enough to compare with the others."""
        return self._samples >= _MIN_SAMPLES and self.ratio >= _SLOW_RATIO

    def eject(self, now: clock.Ms) -> None:
        """Eject it for a while and reset its samples.

        :param now: monotonic ms.
        """
        self.ejected_until = now + self._next_ejection
        self._next_ejection = min(self._next_ejection * 2, _MAX_EJECTION)
        self.ratio = 1.0
        self._samples = 0


def may_eject(
    ratio: LatencyRatio,
    others: collections.abc.Sequence[LatencyRatio],
    share: float,
    now: clock.Ms,
) -> bool:
    """Return whether a slow upstream may be ejected.

    When all upstreams are slow, load is the cause, and ejecting some would
    put the same load on fewer of them.  So the ratio has to stand out from
    the median, and ``share`` limits how many are ejected at once.

    :param ratio: the slow upstream's.
    :param others: those of all upstreams of the model, this one included.
    :param share: largest share of them that may be ejected at once.
    :param now: monotonic ms.
    """
    ejected = sum(other.ejected_until > now for other in others)
    if ejected + 1 > share * len(others):
        return False
    median = statistics.median_low([other.ratio for other in others])
    return ratio.ratio >= _SLOW_RATIO * max(1.0, median)
