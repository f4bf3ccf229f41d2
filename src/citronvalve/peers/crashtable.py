"""Which requests took which upstreams down, in every data centre."""

from citronvalve.model import clock
from citronvalve.peers import crashreport
from citronvalve.peers import updatequeue

#: Tellings of a fact: missing one may cost another upstream.
_TRANSMISSIONS = 7

#: Facts held.  A flood of crashes drops the oldest; a crash that matters
#: comes again.
_MAX_CRASHES = 4_096


class CrashTable:
    """Facts by request, upstream and start.

    :param keep: ms that a fact stays.
    """

    def __init__(self, retention: clock.Ms = 600_000) -> None:
        self._retention = retention
        self._crashed_at_by_key: dict[tuple[str, str, str], clock.Ms] = {}
        self.updates = updatequeue.UpdateQueue(max_keys=_MAX_CRASHES)

    def record(self, fact: crashreport.CrashReport, now: clock.Ms) -> bool:
        """Take in a fact; tell whether it was new.

        :param fact: an own one or one told by a peer.
        :param now: monotonic time in ms.
        """
        key = (fact.fingerprint, fact.upstream, fact.start_id)
        if key in self._crashed_at_by_key or fact.age >= self._retention:
            self.updates.record_duplicate(key)
            return False
        self._crashed_at_by_key[key] = now - max(0, fact.age)
        if len(self._crashed_at_by_key) > _MAX_CRASHES:
            del self._crashed_at_by_key[next(iter(self._crashed_at_by_key))]
        self.updates.put(key, _TRANSMISSIONS, urgent=True)
        return True

    def reports(self, now: clock.Ms) -> tuple[crashreport.CrashReport, ...]:
        """Return every fact that still stands.

        :param now: monotonic time in ms.
        """
        self.prune(now)
        return tuple(self._report(key, now) for key in self._crashed_at_by_key)

    def update_for(
        self, key: tuple[str, str, str], now: clock.Ms
    ) -> crashreport.CrashReport | None:
        """Return a fact in the form in which it travels.

        :param key: fingerprint, upstream and start.
        :param now: monotonic time in ms.
        """
        return (
            self._report(key, now) if key in self._crashed_at_by_key else None
        )

    def prune(self, now: clock.Ms) -> None:
        """Drop the facts that have run out.

        :param now: monotonic time in ms.
        """
        for key, at in list(self._crashed_at_by_key.items()):
            if now - at >= self._retention:
                del self._crashed_at_by_key[key]

    def _report(
        self, key: tuple[str, str, str], now: clock.Ms
    ) -> crashreport.CrashReport:
        return crashreport.CrashReport(
            *key, max(0, now - self._crashed_at_by_key[key])
        )
