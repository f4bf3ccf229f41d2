"""How orders reach runners."""

import abc

from citronvalve.replicas import order
from citronvalve.replicas import runner


class Orders(abc.ABC):
    """Speaks to runners; each call waits for its answer."""

    @abc.abstractmethod
    def give(self, target: runner.Runner, what: order.Order) -> order.Told:
        """Give an order once.

        :param target: the runner that it is for.
        :param what: the order.
        """

    @abc.abstractmethod
    def look(self, target: runner.Runner) -> runner.Runner | order.Told:
        """Ask a runner for its state.

        :param target: what is known of it.
        :returns: the same with its own word on groups and staged models,
            or why there is none.
        """
