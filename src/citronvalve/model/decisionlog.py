"""One line for each decision, bounded in volume, never blocking."""

import abc
from typing import Any


class DecisionLog(abc.ABC):
    """Takes what was decided, with the inputs that decided it."""

    @abc.abstractmethod
    def note(self, event: str, request: str = "", **inputs: Any) -> None:
        """Note a decision about a request.

        Under load these are dropped before those of :meth:`change`.

        :param event: what was decided, two or three words.
        :param request: the request's id.
        :param inputs: what decided it, with ages or versions.
        """

    @abc.abstractmethod
    def change(self, event: str, **inputs: Any) -> None:
        """Note what changes the daemon's belief, or a failure.

        :param event: what changed, two or three words.
        :param inputs: what it is based on.
        """
