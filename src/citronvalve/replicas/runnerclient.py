"""Interface of clients that send orders and probes to runners."""

import abc

from citronvalve.replicas import order
from citronvalve.replicas import probefailure
from citronvalve.replicas import runner


class RunnerClient(abc.ABC):
    """Calls runners; each call blocks until the answer or a timeout."""

    @abc.abstractmethod
    def send(
        self, target: runner.Runner, what: order.Order
    ) -> order.OrderResult:
        """Send an order once.

        :param target: the runner that it is for.
        :param what: the order.
        :returns: the result.
        """

    @abc.abstractmethod
    def probe(
        self, target: runner.Runner
    ) -> runner.Runner | probefailure.ProbeFailure:
        """Read a runner's state.

        :param target: the runner as last known.
        :returns: the runner with its group, staged models and start as it
            reports them, or why there is no report.
        """
