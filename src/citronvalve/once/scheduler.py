"""How the record waits, so that its decisions need no green threads."""

import abc
from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import changeresult


class Future(abc.ABC):
    """One claim's place in the queue for its end."""

    @abc.abstractmethod
    def set_result(self, result: changeresult.ChangeResult) -> None:
        """Tell the end; called once.

        :param end: of the claim.
        """

    @abc.abstractmethod
    def wait(
        self, timeout: clock.Ms
    ) -> changeresult.ChangeResult | missing.Unavailable:
        """Wait for the end.

        :param span: ms to wait at most.
        :return: the end even when it came as the time ran out; missing
            only when none was given.
        """


class Scheduler(abc.ABC):
    """Makes tickets, and runs the loop that redeems them."""

    @abc.abstractmethod
    def future(self) -> Future:
        """Return a new ticket."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Tell the loop that there is something to do."""

    @abc.abstractmethod
    def wait_for_wake(self, timeout: clock.Ms) -> None:
        """Let the loop wait until it is woken.

        :param span: ms to wait at most.
        """

    @abc.abstractmethod
    def sleep(self, duration: clock.Ms) -> None:
        """Let the loop wait, woken or not.

        :param span: ms.
        """

    @abc.abstractmethod
    def spawn(self, function: Callable[[], None]) -> None:
        """Do something beside the caller.

        :param work: what to do.
        """
