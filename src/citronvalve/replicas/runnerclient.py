"""How orders reach runners."""

import abc

from citronvalve.replicas import order
from citronvalve.replicas import runner


class RunnerClient(abc.ABC):
    """Speaks to runners; each call waits for its answer."""

    @abc.abstractmethod
    def send(
        self, target: runner.Runner, what: order.Order
    ) -> order.OrderResult:
        """Give an order once.

        :param target: the runner that it is for.
        :param what: the order.
        """

    @abc.abstractmethod
    def probe(
        self, target: runner.Runner
    ) -> runner.Runner | order.OrderResult:
        """Ask a runner for its state.

        :param target: what is known of it.
        :returns: the same with its own word on groups and staged models,
            or why there is none.
        """
