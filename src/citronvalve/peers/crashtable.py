"""The crashes of upstreams that any daemon reported."""

from citronvalve.model import clock
from citronvalve.peers import crashreport
from citronvalve.peers import updatequeue

#: Transmissions of a report; a daemon that misses it may crash another
#: upstream with the same request.
_TRANSMISSIONS = 7

#: Reports held.  Beyond it the oldest is dropped; a request that goes on
#: crashing upstreams is reported again.
_MAX_CRASHES = 4_096


class CrashTable:
    """Crash reports by request, upstream and start.

    :param retention: ms for which a report is kept.
    """

    def __init__(self, retention: clock.Ms = 600_000) -> None:
        self._retention = retention
        self._crashed_at_by_key: dict[tuple[str, str, str], clock.Ms] = {}
        self.updates = updatequeue.UpdateQueue(max_keys=_MAX_CRASHES)

    def record(self, report: crashreport.CrashReport, now: clock.Ms) -> bool:
        """Record a report; return whether it is new.

        :param report: from this daemon or a peer.
        :param now: monotonic time in ms.
        """
        key = (report.fingerprint, report.upstream, report.start_id)
        if key in self._crashed_at_by_key or report.age >= self._retention:
            self.updates.record_duplicate(key)
            return False
        self._crashed_at_by_key[key] = now - max(0, report.age)
        if len(self._crashed_at_by_key) > _MAX_CRASHES:
            del self._crashed_at_by_key[next(iter(self._crashed_at_by_key))]
        self.updates.put(key, _TRANSMISSIONS, urgent=True)
        return True

    def reports(self, now: clock.Ms) -> tuple[crashreport.CrashReport, ...]:
        """Return all reports that have not expired.

        :param now: monotonic time in ms.
        """
        self.prune(now)
        return tuple(self._report(key, now) for key in self._crashed_at_by_key)

    def update_for(
        self, key: tuple[str, str, str], now: clock.Ms
    ) -> crashreport.CrashReport | None:
        """Return a report with its current age, or ``None``.

        :param key: fingerprint, upstream and start id.
        :param now: monotonic time in ms.
        """
        return (
            self._report(key, now) if key in self._crashed_at_by_key else None
        )

    def prune(self, now: clock.Ms) -> None:
        """Drop expired reports.

        :param now: monotonic time in ms.
        """
        for key, crashed_at in list(self._crashed_at_by_key.items()):
            if now - crashed_at >= self._retention:
                del self._crashed_at_by_key[key]

    def _report(
        self, key: tuple[str, str, str], now: clock.Ms
    ) -> crashreport.CrashReport:
        return crashreport.CrashReport(
            *key, max(0, now - self._crashed_at_by_key[key])
        )
