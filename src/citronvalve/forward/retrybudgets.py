"""The retry budgets of all services."""

from citronvalve.forward import environment as environments
from citronvalve.policy import retrybudget


class RetryBudgets:
    """Limits the retries of each service.

    :param env: the daemon's environment.
    :param limits: the limits on retries.
    :ivar limits: the same; replaced when the settings change.
    """

    def __init__(
        self,
        env: environments.Environment,
        limits: retrybudget.RetryLimits,
    ) -> None:
        self._env = env
        self.limits = limits
        self._budget_by_service: dict[str, retrybudget.RetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller.

        :param service: the service's name.
        """
        self._budget(service).record_request(self._env.clock.now())

    def allows(self, service: str) -> bool:
        """Return whether the budget allows another retry.

        :param service: the service's name.
        """
        now = self._env.clock.now()
        return self._budget(service).allows(self._env.daemon_count, now)

    def spend(self, service: str) -> bool:
        """Take one retry from the budget; return whether it was allowed.

        :param service: the service's name.
        """
        now = self._env.clock.now()
        return self._budget(service).spend(self._env.daemon_count, now)

    def _budget(self, service: str) -> retrybudget.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(self.limits)
            self._budget_by_service[service] = budget
        budget.limits = self.limits
        return budget
