"""Orders of one plan, each given again only after a while."""

from citronvalve.model import clock
from citronvalve.replicas import order as orders

#: An order without visible effect is given again after this time: the list
#: shows a change some tens of ms after it, and an answer may have been lost.
AGAIN: clock.Ms = 1_000

#: Orders remembered before those that may be given again are dropped.
_MOST_GIVEN = 1_000


class OrderBook:
    """Collects what a plan gives, and remembers what was given lately."""

    def __init__(self) -> None:
        self._given: dict[orders.Order, clock.Ms] = {}
        self._out: list[orders.Order | orders.Look] = []

    def give(self, what: orders.Order, now: clock.Ms) -> None:
        """Give an order, unless it was given just now.

        :param what: the order.
        :param now: monotonic ms.
        """
        at = self._given.get(what)
        if at is not None and now - at < AGAIN:
            return
        self._given[what] = now
        self._out.append(what)

    def look(self, runner: str) -> None:
        """Ask whether a runner is there.

        :param runner: its id.
        """
        self._out.append(orders.Look(runner))

    def take(self, now: clock.Ms) -> list[orders.Order | orders.Look]:
        """Return what was given since the last call.

        :param now: monotonic ms.
        """
        if len(self._given) > _MOST_GIVEN:
            self._given = {
                k: at for k, at in self._given.items() if now - at < AGAIN
            }
        out, self._out = self._out, []
        return out
