"""The recent views of the members."""

import collections
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import rendezvous


class View(NamedTuple):
    """The members since a time."""

    started_at: clock.Ms
    alive: frozenset[str]
    known: frozenset[str]
    coordinator_by_key: dict[str, str | None]

    def coordinator(self, key: str) -> str | None:
        """Return the coordinator of a key, cached by view.

        :param key: the key to coordinate.
        """
        if key not in self.coordinator_by_key:
            self.coordinator_by_key[key] = rendezvous.first(key, self.alive)
        return self.coordinator_by_key[key]


class ViewHistory:
    """The views of the members within a time span.

    Daemons see a change of the members at different times.  They don't
    conflict if each relies only on what was true during the whole span.

    :param span: the time span in ms.
    """

    def __init__(self, span: clock.Ms) -> None:
        self._span = span
        self._views: collections.deque[View] = collections.deque()

    def clear(self) -> None:
        """Drop all views, which a new incarnation may not rely on."""
        self._views.clear()

    def record(
        self, now: clock.Ms, alive: frozenset[str], known: frozenset[str]
    ) -> None:
        """Record the current view.

        :param now: monotonic time in ms.
        :param alive: the members alive.
        :param known: the members that count.
        """
        last = self._views[-1] if self._views else None
        if last is None or (last.alive, last.known) != (alive, known):
            self._views.append(View(now, alive, known, {}))
        while len(self._views) > 1 and self._views[1].started_at <= (
            now - self._span
        ):
            self._views.popleft()

    def is_settled(self, now: clock.Ms) -> bool:
        """Return whether the views cover the whole span.

        :param now: monotonic time in ms.
        """
        return (
            bool(self._views) and self._views[0].started_at <= now - self._span
        )

    def was_coordinator(self, key: str, name: str, now: clock.Ms) -> bool:
        """Return whether a member was the coordinator for the whole span.

        :param key: the key to coordinate.
        :param name: the member.
        :param now: monotonic time in ms.
        """
        return self.is_settled(now) and all(
            view.coordinator(key) == name for view in self._views
        )

    def coordinator(self, key: str) -> str | None:
        """Return the coordinator of a key in the current view.

        :param key: the key to coordinate.
        """
        return self._views[-1].coordinator(key) if self._views else None

    def always_alive(self) -> frozenset[str]:
        """Return the members that were alive in all views."""
        return frozenset.intersection(*(view.alive for view in self._views))

    def ever_known(self) -> frozenset[str]:
        """Return the members that counted in any view."""
        return frozenset().union(*(view.known for view in self._views))
