"""What is known of the other data centres."""

from citronvalve.model import clock
from citronvalve.peers import summary as summaries
from citronvalve.peers import updatequeue

#: Tellings inside a data centre; the next summary comes soon.
_TRANSMISSIONS = 4

#: A summary that says nothing new is passed on this seldom.  It is made for
#: 30 other data centres: at once a second their summaries alone would take
#: most of 19 KB/s.
_UNCHANGED_INTERVAL: clock.Ms = 5 * clock.SECOND


class RemoteDatacentres:
    """The newest summary of each other data centre.

    :param own: name of this daemon's data centre.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._summary_by_name: dict[str, summaries.Summary] = {}
        self._seen_at_by_name: dict[str, clock.Ms] = {}
        self.updates = updatequeue.UpdateQueue()

    def names(self) -> list[str]:
        """Return the other data centres that were ever heard of."""
        return sorted(self._summary_by_name)

    def summary(self, name: str) -> summaries.Summary | None:
        """Return the newest summary, or ``None`` if there is none.

        :param name: a data centre.
        """
        return self._summary_by_name.get(name)

    def contacts(self, name: str) -> tuple[summaries.Contact, ...]:
        """Return members to write to.

        :param name: a data centre.
        """
        return self._summary_by_name[name].contacts

    def apply(self, summary: summaries.Summary, now: clock.Ms) -> bool:
        """Take in a summary; tell whether it is passed on.

        :param summary: of any data centre.
        :param now: monotonic time in ms.
        """
        name = summary.datacentre
        if name == self._own:
            return False
        held = self._summary_by_name.get(name)
        seen_at = now - max(0, summary.age)
        if held is not None and seen_at <= self._seen_at_by_name[name]:
            self.updates.record_duplicate(name)
            return False
        fresh = (
            held is None
            or held._replace(age=0, contacts=())
            != summary._replace(age=0, contacts=())
            or seen_at - self._seen_at_by_name[name] >= _UNCHANGED_INTERVAL
        )
        if fresh:
            self._summary_by_name[name] = summary
            self._seen_at_by_name[name] = seen_at
            self.updates.put(name, _TRANSMISSIONS)
        return fresh

    def current_summary(self, name: str, now: clock.Ms) -> summaries.Summary:
        """Return a summary in the form in which it travels.

        :param name: a data centre.
        :param now: monotonic time in ms.
        """
        return self._summary_by_name[name]._replace(
            age=max(0, now - self._seen_at_by_name[name])
        )

    def summaries(self, now: clock.Ms) -> tuple[summaries.Summary, ...]:
        """Return every summary, with its age.

        :param now: monotonic time in ms.
        """
        return tuple(self.current_summary(name, now) for name in self.names())
