"""The summaries of the other data centres."""

from citronvalve.model import clock
from citronvalve.peers import summary as summaries
from citronvalve.peers import updatequeue

#: Transmissions of a summary in a data centre; the next one follows soon.
_TRANSMISSIONS = 4

#: Minimum time between two forwarded summaries with the same content.  At one
#: a second, the summaries of 30 other data centres would take most of 19 KB/s.
_UNCHANGED_INTERVAL: clock.Ms = 5 * clock.SECOND


class RemoteDatacentres:
    """The newest summary of each other data centre.

    :param own: name of this daemon's data centre.
    :ivar updates: names of the data centres whose summaries to send.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._summary_by_name: dict[str, summaries.Summary] = {}
        self._seen_at_by_name: dict[str, clock.Ms] = {}
        self.updates = updatequeue.UpdateQueue()

    def names(self) -> list[str]:
        """Return the names of the other known data centres."""
        return sorted(self._summary_by_name)

    def summary(self, name: str) -> summaries.Summary | None:
        """Return the newest summary, or ``None`` if there is none.

        :param name: a data centre.
        """
        return self._summary_by_name.get(name)

    def contacts(self, name: str) -> tuple[summaries.Contact, ...]:
        """Return members to send messages to.

        :param name: a data centre.
        """
        return self._summary_by_name[name].contacts

    def apply(self, summary: summaries.Summary, now: clock.Ms) -> bool:
        """Apply a summary; return whether it is to be forwarded.

        :param summary: of any data centre.
        :param now: monotonic time in ms.
        """
        name = summary.datacentre
        if name == self._own:
            return False
        known = self._summary_by_name.get(name)
        seen_at = now - max(0, summary.age)
        if known is not None and seen_at <= self._seen_at_by_name[name]:
            self.updates.record_duplicate(name)
            return False
        is_new = (
            known is None
            or known._replace(age=0, contacts=())
            != summary._replace(age=0, contacts=())
            or seen_at - self._seen_at_by_name[name] >= _UNCHANGED_INTERVAL
        )
        if is_new:
            self._summary_by_name[name] = summary
            self._seen_at_by_name[name] = seen_at
            self.updates.put(name, _TRANSMISSIONS)
        return is_new

    def current_summary(self, name: str, now: clock.Ms) -> summaries.Summary:
        """Return a summary with its current age.

        :param name: a data centre.
        :param now: monotonic time in ms.
        """
        return self._summary_by_name[name]._replace(
            age=max(0, now - self._seen_at_by_name[name])
        )

    def summaries(self, now: clock.Ms) -> tuple[summaries.Summary, ...]:
        """Return all summaries with their current ages.

        :param now: monotonic time in ms.
        """
        return tuple(self.current_summary(name, now) for name in self.names())
