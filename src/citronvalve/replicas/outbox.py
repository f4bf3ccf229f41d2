"""Orders of one plan, each given again only after a while."""

from citronvalve.model import clock
from citronvalve.replicas import order as orders

#: An order without visible effect is given again after this time: the list
#: shows a change some tens of ms after it, and an answer may have been lost.
RETRY_INTERVAL: clock.Ms = 1_000

#: Orders remembered before those that may be given again are dropped.
_MAX_REMEMBERED = 1_000


class Outbox:
    """Collects what a plan gives, and remembers what was given lately."""

    def __init__(self) -> None:
        self._sent_at_by_order: dict[orders.Order, clock.Ms] = {}
        self._queued: list[orders.Order | orders.Probe] = []

    def add(self, order: orders.Order, now: clock.Ms) -> None:
        """Give an order, unless it was given just now.

        :param what: the order.
        :param now: monotonic ms.
        """
        sent_at = self._sent_at_by_order.get(order)
        if sent_at is not None and now - sent_at < RETRY_INTERVAL:
            return
        self._sent_at_by_order[order] = now
        self._queued.append(order)

    def add_probe(self, runner_id: str) -> None:
        """Ask whether a runner is there.

        :param runner: its id.
        """
        self._queued.append(orders.Probe(runner_id))

    def drain(self, now: clock.Ms) -> list[orders.Order | orders.Probe]:
        """Return what was given since the last call.

        :param now: monotonic ms.
        """
        if len(self._sent_at_by_order) > _MAX_REMEMBERED:
            self._sent_at_by_order = {
                k: at
                for k, at in self._sent_at_by_order.items()
                if now - at < RETRY_INTERVAL
            }
        queued, self._queued = self._queued, []
        return queued
