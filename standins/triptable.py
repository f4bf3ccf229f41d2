"""A view of a table service whose calls pass the points of a trip."""

from citronvalve.storage import rows
from citronvalve.storage import tableservice
from standins import trip


class TripTable(tableservice.TableService):
    """One process's way to the table.

    :param inner: the table itself.
    :param points: where the process can be killed or paused.
    """

    def __init__(
        self, inner: tableservice.TableService, points: trip.Trip
    ) -> None:
        self._inner = inner
        self._points = points

    def read(self, table, key):
        self._points.point("before read")
        found = self._inner.read(table, key)
        self._points.point("after read")
        return found

    def scan(self, table, after=0):
        self._points.point("before scan")
        found = self._inner.scan(table, after)
        self._points.point("after scan")
        return found

    def commit(self, transaction: rows.Transaction):
        self._points.point("before commit")
        found = self._inner.commit(transaction)
        self._points.point("after commit")
        return found
