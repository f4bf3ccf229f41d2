"""Orders and probes of one plan, with repeats rate-limited."""

from citronvalve.model import clock
from citronvalve.replicas import order as orders

#: An order without visible effect is repeated after this time, since it or
#: its answer may be lost.  The list shows a change within some tens of ms.
RETRY_INTERVAL: clock.Ms = 1_000

#: Orders remembered before those that may be repeated are dropped.
_MAX_REMEMBERED = 1_000


class Outbox:
    """Queues orders and probes, and drops repeats of recent orders."""

    def __init__(self) -> None:
        self._sent_at_by_order: dict[orders.Order, clock.Ms] = {}
        self._queued: list[orders.Order | orders.Probe] = []

    def add(self, order: orders.Order, now: clock.Ms) -> None:
        """Queue an order unless it was queued within the retry interval.

        :param order: the order.
        :param now: monotonic ms.
        """
        sent_at = self.sent_at(order)
        if sent_at is not None and now - sent_at < RETRY_INTERVAL:
            return
        self._sent_at_by_order[_without_reason(order)] = now
        self._queued.append(order)

    def sent_at(self, order: orders.Order) -> clock.Ms | None:
        """Return when an order was last queued, None if that is not known.

        :param order: the order.
        """
        return self._sent_at_by_order.get(_without_reason(order))

    def add_probe(self, runner_id: str) -> None:
        """Queue a probe.

        :param runner_id: the runner to probe.
        """
        self._queued.append(orders.Probe(runner_id))

    def drain(self, now: clock.Ms) -> list[orders.Order | orders.Probe]:
        """Return what was queued since the last call.

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


def _without_reason(order: orders.Order) -> orders.Order:
    """Return an order as it is whatever it is given for.

    :param order: the order.
    """
    return order._replace(why=orders.Reason.FORMED)
