"""The platform's transactional table service, as the system sees it."""

import abc

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import rows


class TableService(abc.ABC):
    """Several hundred writes and about 2,000 reads a second, with outages.

    Expected failures come back as values: :class:`missing.Unavailable`
    when nothing was done, :class:`missing.AnswerLost` when a write may have
    taken effect.
    """

    @abc.abstractmethod
    def read(
        self, table: str, key: str
    ) -> rows.Row | missing.NotFound | missing.Unavailable:
        """Read one row.

        :param table: name of the table.
        :param key: the row's key.
        """

    @abc.abstractmethod
    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        """Read the rows of a table that changed after a revision.

        :param table: name of the table.
        :param after: a revision already seen; 0 reads the whole table.
        """

    def follow(
        self, table: str, after: int, wait: clock.Ms
    ) -> rows.Scan | missing.NotFound | missing.Unavailable:
        """Return what changed after a revision, as soon as something has.

        :class:`missing.NotFound` means that the service no longer holds the
        changes since that revision; the table is then to be read whole.
        A service that can't wait answers at once.

        :param table: name of the table.
        :param after: a revision already seen.
        :param wait: longest time in ms to wait for a change.
        """
        return self.scan(table, after)

    @abc.abstractmethod
    def commit(self, transaction: rows.Transaction) -> rows.CommitResult:
        """Carry out a transaction.

        :param transaction: conditions and writes.
        """
