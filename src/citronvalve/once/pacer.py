"""Spreads one daemon's transactions over its share of the store's writes."""

from citronvalve.model import clock

#: Transactions that may follow each other at once after a quiet time, so
#: that a lone request never waits.  Eight daemons together then exceed the
#: store's second by 32 writes at most, a tenth of what it takes.
BURST = 4

#: Transactions a second that all daemons together may make for keys.  The
#: platform takes several hundred; this is the least that the words allow,
#: and edits and orders to groups are a few a second beside it.
MAX_STORE_WRITES_PER_SECOND = 300

#: No daemon makes more than this, however few there are: one in flight at
#: a time and a round trip of 10 ms allow no more.
_MAX_RATE = 100.0


def rate_for(daemons: int) -> float:
    """Return the transactions a second of one daemon.

    Daemons that are cut off from others count too few.  The store then
    answers late, which makes the batches larger instead of more.

    :param daemons: how many share the store, this one included.
    """
    return min(_MAX_RATE, MAX_STORE_WRITES_PER_SECOND / max(1, daemons))


class Pacer:
    """A token bucket over whole milliseconds.

    :param rate: transactions a second that this daemon may make.
    :param now: monotonic time in ms.
    """

    def __init__(self, rate: float, now: clock.Ms) -> None:
        self.rate = rate
        self._tokens = float(BURST)
        self._filled_at = now

    def wait(self, now: clock.Ms, reserve: int = 0) -> clock.Ms:
        """Return ms until the next transaction may go; 0 is at once.

        :param now: monotonic time in ms.
        :param spare: how many more it must leave to others.
        """
        self._refill(now)
        shortfall = 1.0 + reserve - self._tokens
        if shortfall <= 0:
            return 0
        return max(1, round(shortfall * clock.SECOND / self.rate))

    def consume(self, now: clock.Ms) -> None:
        """Count a transaction.

        :param now: monotonic time in ms.
        """
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: clock.Ms) -> None:
        grown = (now - self._filled_at) * self.rate / clock.SECOND
        self._tokens = min(float(BURST), self._tokens + grown)
        self._filled_at = now
