"""Interface of the decision log: bounded in volume, never blocking."""

import abc
from typing import Any


class DecisionLog(abc.ABC):
    """Logs one line per decision, with the inputs it is based on."""

    @abc.abstractmethod
    def note(self, event: str, request: str = "", **inputs: Any) -> None:
        """Log a decision about a request.

        Under load these lines are dropped before those of :meth:`change`.

        :param event: the decision, in two or three words.
        :param request: id of the request.
        :param inputs: values the decision is based on, with their ages or
            versions.
        """

    @abc.abstractmethod
    def change(self, event: str, **inputs: Any) -> None:
        """Log a failure or a change of the daemon's state.

        :param event: the change, in two or three words.
        :param inputs: values the change is based on.
        """
