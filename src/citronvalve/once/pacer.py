"""Limits the rate of the transactions of one daemon."""

from citronvalve.model import clock

#: Transactions allowed at once after an idle period, so that a single
#: request never waits.  Eight daemons together then exceed the rate of the
#: store by at most 32 writes in a second, a tenth of its capacity.
BURST = 4

#: Transactions a second for keys, over all daemons.  The platform supports
#: several hundred; this is the lowest figure that this can mean.  Edits and
#: group orders add a few a second.
MAX_STORE_WRITES_PER_SECOND = 300

#: Highest rate of one daemon: one transaction in flight with a round trip
#: of 10 ms allows no more.
_MAX_RATE = 100.0


def rate_for(daemons: int) -> float:
    """Return the share of one daemon in transactions a second.

    Partitioned daemons count too few daemons.  The store then responds
    late, which makes the batches larger instead of more frequent.

    :param daemons: number of daemons that share the store, with this one.
    """
    return min(_MAX_RATE, MAX_STORE_WRITES_PER_SECOND / max(1, daemons))


class Pacer:
    """A token bucket with a resolution of 1 ms.

    :param rate: transactions a second.
    :param now: monotonic time in ms.
    """

    def __init__(self, rate: float, now: clock.Ms) -> None:
        self.rate = rate
        self._tokens = float(BURST)
        self._filled_at = now

    def wait(self, now: clock.Ms, reserve: int = 0) -> clock.Ms:
        """Return ms until the next transaction is allowed.

        :param now: monotonic time in ms.
        :param reserve: tokens that must remain afterwards.
        """
        self._refill(now)
        shortfall = 1.0 + reserve - self._tokens
        if shortfall <= 0:
            return 0
        return max(1, round(shortfall * clock.SECOND / self.rate))

    def consume(self, now: clock.Ms) -> None:
        """Take the token of one transaction.

        :param now: monotonic time in ms.
        """
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: clock.Ms) -> None:
        grown = (now - self._filled_at) * self.rate / clock.SECOND
        self._tokens = min(float(BURST), self._tokens + grown)
        self._filled_at = now
