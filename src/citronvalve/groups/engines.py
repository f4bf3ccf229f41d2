"""The interface through which a leader controls engines."""

import abc
from collections.abc import Iterable

from citronvalve.groups import accepted
from citronvalve.groups import engineload
from citronvalve.groups import holding
from citronvalve.groups import order
from citronvalve.groups import refused
from citronvalve.model import missing

Answer = (
    accepted.Accepted
    | refused.Refused
    | missing.Unavailable
    | missing.AnswerLost
)
ReadBack = (
    holding.Holding | missing.Unavailable | missing.AnswerLost | missing.Stale
)

Order = order.Order
AddressAndOrder = tuple[str, Order]


class Engines(abc.ABC):
    """Sends orders to engines and reads back their state.

    A read-back is an engine's report of the group and weights it holds.
    :class:`missing.Unavailable` means that the VM refused the connection:
    nothing runs there.  :class:`missing.AnswerLost` means that there was no
    valid answer, and an order may still arrive.  :class:`missing.Stale`
    means that this daemon was too late to read an answer.
    """

    @abc.abstractmethod
    def send_order(self, address: str, new_order: Order) -> Answer:
        """Send an order.

        :param address: host:port of the engine.
        :param new_order: the order.
        """

    @abc.abstractmethod
    def read_holding(self, address: str) -> ReadBack:
        """Read the group and weights that an engine holds.

        :param address: host:port of the engine.
        """

    @abc.abstractmethod
    def read_load(
        self, address: str
    ) -> engineload.EngineLoad | missing.Unavailable | missing.AnswerLost:
        """Read the load of an engine.

        :param address: host:port of the engine.
        """

    def read_holdings(self, addresses: Iterable[str]) -> dict[str, ReadBack]:
        """Read back several engines, one by one unless overridden.

        :param addresses: host:port of each engine.
        """
        return {address: self.read_holding(address) for address in addresses}

    def send_orders(
        self, addressed_orders: Iterable[AddressAndOrder]
    ) -> tuple[Answer, ...]:
        """Send several orders, one by one unless overridden.

        :param addressed_orders: pairs of host:port and order.
        """
        return tuple(
            self.send_order(address, each)
            for address, each in addressed_orders
        )
