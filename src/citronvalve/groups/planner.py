"""The interface of planners."""

import abc

from citronvalve.groups import fleet
from citronvalve.groups import plan


class Planner(abc.ABC):
    """Assigns VMs to groups, without side effects; called in every step."""

    @abc.abstractmethod
    def plan(self, current: fleet.Fleet) -> plan.Plan:
        """Plan a data centre.

        :param current: the current fleet.
        """
