"""Reads the platform's table for one watcher."""

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import delta as deltas
from citronvalve.table import layout
from citronvalve.table import watcher as watchers


class Poller:
    """Scans the platform's table on request; the caller schedules it.

    :param service: the platform's table service.
    :param watcher: turns scans into deltas.
    :param time_source: monotonic clock.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        watcher: watchers.Watcher,
        time_source: clock.Clock,
    ) -> None:
        self._service = service
        self._clock = time_source
        self.watcher = watcher

    def poll(self) -> deltas.Delta | missing.Missing | None:
        """Read the changes since the last poll; None if there are none."""
        requested_at = self._clock.now()
        scan = self._service.scan(layout.TABLE, self.watcher.revision)
        if missing.is_missing(scan):
            self.watcher.record_failure()
            return scan
        return self.watcher.apply_scan(scan, requested_at)

    def read_full(self) -> deltas.Delta | missing.Missing:
        """Read the whole table, to compare the local copy with it."""
        scan = self._service.scan(layout.TABLE)
        if missing.is_missing(scan):
            self.watcher.record_failure()
            return scan
        return self.watcher.apply_full_scan(scan)
