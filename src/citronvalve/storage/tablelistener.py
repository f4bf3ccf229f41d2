"""Interface for receivers of a table's rows."""

import abc

from citronvalve.model import clock
from citronvalve.storage import rows


class TableListener(abc.ABC):
    """Receives the rows of a table, from the store or other daemons."""

    @abc.abstractmethod
    def replace_all(self, found: tuple[rows.Row, ...]) -> None:
        """Replace all rows.

        :param found: all rows of the table.
        """

    @abc.abstractmethod
    def apply_changes(
        self, found: tuple[rows.Row, ...], gone: tuple[str, ...]
    ) -> None:
        """Apply changes.

        :param found: new and changed rows.
        :param gone: keys of deleted rows.
        """

    def confirm(self, at: clock.Ms) -> None:
        """Record that the rows were current at a time.

        :param at: monotonic ms.
        """
