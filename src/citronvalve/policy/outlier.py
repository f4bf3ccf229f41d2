"""Upstreams that are much slower than the others."""

import collections.abc
import statistics

from citronvalve.model import clock

#: An upstream this many times slower than expected, and than the middle of
#: its model, is an outlier.  Batching alone makes answers twice as long.
_SLOW_RATIO = 3.0

#: Samples before one is judged; a single long answer proves nothing.
_MIN_SAMPLES = 3

#: Gain of one sample: three slow ones outweigh a good past.
_GAIN = 0.4

#: Time out of service at first, doubled each time in a row.
_FIRST_EJECTION: clock.Ms = 10_000

#: Longest time, so that a mended upstream is used again soon.
_MAX_EJECTION: clock.Ms = 120_000


class LatencyRatio:
    """How one upstream's answers compare with what was expected.

    :ivar ratio: decayed mean of measured over expected time.
    :ivar until: monotonic ms to which it is ejected.
    """

    __slots__ = ("_next_ejection", "_samples", "ejected_until", "ratio")

    def __init__(self) -> None:
        self.ratio = 1.0
        self.ejected_until: clock.Ms = 0
        self._samples = 0
        self._next_ejection = _FIRST_EJECTION

    def record(self, ratio: float) -> None:
        """Take in one answer, or one that is overdue.

        :param ratio: measured over expected time.
        """
        # One answer may not count for more than ten slow ones.
        self.ratio += _GAIN * (min(ratio, _SLOW_RATIO * 10) - self.ratio)
        self._samples += 1
        if self._samples > 10 * _MIN_SAMPLES and self.ratio < _SLOW_RATIO / 2:
            self._next_ejection = _FIRST_EJECTION

    def is_slow(self) -> bool:
        """Tell whether it is worth comparing with the others."""
        return self._samples >= _MIN_SAMPLES and self.ratio >= _SLOW_RATIO

    def eject(self, now: clock.Ms) -> None:
        """Put it out of service for a while; it is judged afresh after.

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
    """Tell whether a slow upstream may go out of service.

    Made for one upstream that turned slow: callers who get it are late.
    When all are slow the load is the cause, and ejecting would put the same
    load on fewer of them; hence the comparison with the middle one, and the
    floor that always leaves most of them in service.

    :param pace: the one in question.
    :param others: all of the same model, it included.
    :param share: most of them that may be out at once.
    :param now: monotonic ms.
    """
    ejected = sum(other.ejected_until > now for other in others)
    if ejected + 1 > share * len(others):
        return False
    median = statistics.median_low([other.ratio for other in others])
    return ratio.ratio >= _SLOW_RATIO * max(1.0, median)
