"""Takes what a daemon reads of a table, or is told of it."""

import abc

from citronvalve.model import clock
from citronvalve.storage import rows


class TableListener(abc.ABC):
    """Takes what is read of a table."""

    @abc.abstractmethod
    def replace_all(self, found: tuple[rows.Row, ...]) -> None:
        """Take all rows; whatever is not among them is gone.

        :param found: the rows.
        """

    @abc.abstractmethod
    def apply_changes(
        self, found: tuple[rows.Row, ...], gone: tuple[str, ...]
    ) -> None:
        """Take changes.

        :param found: rows that are new or differ.
        :param gone: keys of rows that are no more.
        """

    def confirm(self, at: clock.Ms) -> None:
        """Take that nothing newer was there at a moment.

        :param at: monotonic ms.
        """
