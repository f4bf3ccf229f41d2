"""Which requests took which upstreams down, in every data centre."""

from citronvalve.model import clock
from citronvalve.peers import crashreport
from citronvalve.peers import updatequeue

#: Tellings of a fact: missing one may cost another upstream.
_TELLINGS = 7

#: Facts held.  A flood of crashes drops the oldest; a crash that matters
#: comes again.
_MOST = 4_096


class CrashTable:
    """Facts by request, upstream and start.

    :param keep: ms that a fact stays.
    """

    def __init__(self, keep: clock.Ms = 600_000) -> None:
        self._keep = keep
        self._at_by_fact: dict[tuple[str, str, str], clock.Ms] = {}
        self.rumors = updatequeue.UpdateQueue(most=_MOST)

    def hear(self, fact: crashreport.CrashReport, now: clock.Ms) -> bool:
        """Take in a fact; tell whether it was new.

        :param fact: an own one or one told by a peer.
        :param now: monotonic time in ms.
        """
        key = (fact.fingerprint, fact.upstream, fact.start_id)
        if key in self._at_by_fact or fact.age >= self._keep:
            self.rumors.heard(key)
            return False
        self._at_by_fact[key] = now - max(0, fact.age)
        if len(self._at_by_fact) > _MOST:
            del self._at_by_fact[next(iter(self._at_by_fact))]
        self.rumors.put(key, _TELLINGS, urgent=True)
        return True

    def facts(self, now: clock.Ms) -> tuple[crashreport.CrashReport, ...]:
        """Return every fact that still stands.

        :param now: monotonic time in ms.
        """
        self.prune(now)
        return tuple(self._fact(key, now) for key in self._at_by_fact)

    def rumor(
        self, key: tuple[str, str, str], now: clock.Ms
    ) -> crashreport.CrashReport | None:
        """Return a fact in the form in which it travels.

        :param key: fingerprint, upstream and start.
        :param now: monotonic time in ms.
        """
        return self._fact(key, now) if key in self._at_by_fact else None

    def prune(self, now: clock.Ms) -> None:
        """Drop the facts that have run out.

        :param now: monotonic time in ms.
        """
        for key, at in list(self._at_by_fact.items()):
            if now - at >= self._keep:
                del self._at_by_fact[key]

    def _fact(
        self, key: tuple[str, str, str], now: clock.Ms
    ) -> crashreport.CrashReport:
        return crashreport.CrashReport(
            *key, max(0, now - self._at_by_fact[key])
        )
