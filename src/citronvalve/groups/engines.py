"""The order interface of the engines, as a leader sees it."""

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
ReadBack = holding.Holding | missing.Unavailable | missing.AnswerLost

#: Named here, where ``order`` is still the module and not the method.
Order = order.Order
#: Address and order.
AddressAndOrder = tuple[str, Order]


class Engines(abc.ABC):
    """Gives orders to engines and reads back what they hold.

    :class:`missing.Unavailable` means that the VM refused the connection:
    nothing runs there.  :class:`missing.AnswerLost` means silence, and an
    order may yet arrive.
    """

    @abc.abstractmethod
    def send_order(self, address: str, new_order: Order) -> Answer:
        """Give an order.

        :param address: host:port of the engine.
        :param given: what it is to do.
        """

    @abc.abstractmethod
    def read_holding(self, address: str) -> ReadBack:
        """Read back what an engine holds.

        :param address: host:port of the engine.
        """

    @abc.abstractmethod
    def read_load(
        self, address: str
    ) -> engineload.EngineLoad | missing.Unavailable | missing.AnswerLost:
        """Read how busy an engine is.

        :param address: host:port of the engine.
        """

    def read_holdings(self, addresses: Iterable[str]) -> dict[str, ReadBack]:
        """Read back many engines; override it to ask them side by side.

        :param addresses: host:port of each.
        """
        return {address: self.read_holding(address) for address in addresses}

    def send_orders(
        self, addressed_orders: Iterable[AddressAndOrder]
    ) -> tuple[Answer, ...]:
        """Give many orders; override it to give them side by side.

        :param given: address and order of each.
        """
        return tuple(
            self.send_order(address, each)
            for address, each in addressed_orders
        )
