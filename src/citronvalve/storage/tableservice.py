"""Interface to the platform's transactional table service."""

import abc

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import rows


class TableService(abc.ABC):
    """Table service for several hundred writes and 2,000 reads a second.

    It has outages.  Expected failures are returned:
    :class:`missing.Unavailable` if nothing was done,
    :class:`missing.AnswerLost` if a write may have taken effect.
    """

    @abc.abstractmethod
    def read(
        self, table: str, key: str
    ) -> rows.Row | missing.NotFound | missing.Unavailable:
        """Read one row.

        :param table: name of the table.
        :param key: key of the row.
        """

    @abc.abstractmethod
    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        """Read the rows of a table that changed after a revision.

        :param table: name of the table.
        :param after: last known revision; 0 reads all rows.
        """

    def follow(
        self, table: str, after: int, wait: clock.Ms
    ) -> rows.Scan | missing.NotFound | missing.Unavailable:
        """Wait for changes after a revision and return them.

        :class:`missing.NotFound` means that the service no longer has the
        changes since that revision, and the caller must read all rows.
        A service that can't wait returns at once.

        :param table: name of the table.
        :param after: last known revision.
        :param wait: maximum time in ms to wait for a change.
        """
        return self.scan(table, after)

    @abc.abstractmethod
    def commit(self, transaction: rows.Transaction) -> rows.CommitResult:
        """Commit a transaction.

        :param transaction: conditions and writes.
        """
