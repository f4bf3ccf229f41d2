"""The interface of planners."""

import abc

from citronvalve.groups import fleet
from citronvalve.groups import plan


class Planner(abc.ABC):
    """Decides which VMs form groups; pure, and called with every step."""

    @abc.abstractmethod
    def plan(self, current: fleet.Fleet) -> plan.Plan:
        """Plan a data centre.

        :param seen: the fleet as it is now.
        """
