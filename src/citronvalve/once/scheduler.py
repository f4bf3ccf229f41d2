"""Interface for waiting, which keeps the recorder free of green threads."""

import abc
from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import changeresult


class Future(abc.ABC):
    """Result of a claim that may not be available yet."""

    @abc.abstractmethod
    def set_result(self, result: changeresult.ChangeResult) -> None:
        """Set the result and wake the waiting caller; called once.

        :param result: result of the claim.
        """

    @abc.abstractmethod
    def wait(
        self, timeout: clock.Ms
    ) -> changeresult.ChangeResult | missing.Unavailable:
        """Wait for the result.

        :param timeout: longest wait in ms.
        :return: the result, even if it was set just as the timeout fired;
            missing only if none was set.
        """


class Scheduler(abc.ABC):
    """Creates futures, and blocks or starts tasks."""

    @abc.abstractmethod
    def future(self) -> Future:
        """Return a new future."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Wake the commit loop."""

    @abc.abstractmethod
    def wait_for_wake(self, timeout: clock.Ms) -> None:
        """Block the commit loop until it is woken.

        :param timeout: longest wait in ms.
        """

    @abc.abstractmethod
    def sleep(self, duration: clock.Ms) -> None:
        """Sleep without reacting to :meth:`wake`.

        :param duration: ms to sleep.
        """

    @abc.abstractmethod
    def spawn(self, function: Callable[[], None]) -> None:
        """Run a function in a new task.

        :param function: function to run.
        """
