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
Held = holding.Holding | missing.Unavailable | missing.AnswerLost

#: Named here, where ``order`` is still the module and not the method.
Order = order.Order
#: Address and order.
Given = tuple[str, Order]


class Engines(abc.ABC):
    """Gives orders to engines and reads back what they hold.

    :class:`missing.Unavailable` means that the VM refused the connection:
    nothing runs there.  :class:`missing.AnswerLost` means silence, and an
    order may yet arrive.
    """

    @abc.abstractmethod
    def order(self, address: str, given: Order) -> Answer:
        """Give an order.

        :param address: host:port of the engine.
        :param given: what it is to do.
        """

    @abc.abstractmethod
    def holding(self, address: str) -> Held:
        """Read back what an engine holds.

        :param address: host:port of the engine.
        """

    @abc.abstractmethod
    def load(
        self, address: str
    ) -> engineload.EngineLoad | missing.Unavailable | missing.AnswerLost:
        """Read how busy an engine is.

        :param address: host:port of the engine.
        """

    def holdings(self, addresses: Iterable[str]) -> dict[str, Held]:
        """Read back many engines; override it to ask them side by side.

        :param addresses: host:port of each.
        """
        return {address: self.holding(address) for address in addresses}

    def orders(self, given: Iterable[Given]) -> tuple[Answer, ...]:
        """Give many orders; override it to give them side by side.

        :param given: address and order of each.
        """
        return tuple(self.order(address, each) for address, each in given)
