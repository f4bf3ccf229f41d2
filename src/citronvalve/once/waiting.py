"""How the record waits, so that its decisions need no green threads."""

import abc
from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import settled


class Ticket(abc.ABC):
    """One claim's place in the queue for its end."""

    @abc.abstractmethod
    def give(self, end: settled.Settled) -> None:
        """Tell the end; called once.

        :param end: of the claim.
        """

    @abc.abstractmethod
    def wait(self, span: clock.Ms) -> settled.Settled | missing.Unavailable:
        """Wait for the end.

        :param span: ms to wait at most.
        :return: the end even when it came as the time ran out; missing
            only when none was given.
        """


class Waiting(abc.ABC):
    """Makes tickets, and runs the loop that redeems them."""

    @abc.abstractmethod
    def ticket(self) -> Ticket:
        """Return a new ticket."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Tell the loop that there is something to do."""

    @abc.abstractmethod
    def sleep(self, span: clock.Ms) -> None:
        """Let the loop wait until it is woken.

        :param span: ms to wait at most.
        """

    @abc.abstractmethod
    def pause(self, span: clock.Ms) -> None:
        """Let the loop wait, woken or not.

        :param span: ms.
        """

    @abc.abstractmethod
    def start(self, work: Callable[[], None]) -> None:
        """Do something beside the caller.

        :param work: what to do.
        """
