"""How the members looked lately, for decisions that must outlast a change."""

import collections
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import rendezvous


class View(NamedTuple):
    """The members from a moment on."""

    since: clock.Ms
    alive: frozenset[str]
    known: frozenset[str]
    coordinator_by_key: dict[str, str | None]

    def coordinator(self, key: str) -> str | None:
        """Return the keeper of a key; worked out once a view.

        :param key: what is kept.
        """
        if key not in self.coordinator_by_key:
            self.coordinator_by_key[key] = rendezvous.first(key, self.alive)
        return self.coordinator_by_key[key]


class ViewHistory:
    """The views of the last while.

    Two daemons see a change at different times.  Whoever relies only on what
    held through the whole span can't clash with one that relies on it, too.

    :param span: ms that a view must have held.
    """

    def __init__(self, span: clock.Ms) -> None:
        self._span = span
        self._views: collections.deque[View] = collections.deque()

    def clear(self) -> None:
        """Forget the past, since this life may not rely on it."""
        self._views.clear()

    def record(
        self, now: clock.Ms, alive: frozenset[str], known: frozenset[str]
    ) -> None:
        """Take the present view.

        :param now: monotonic time in ms.
        :param alive: the members alive.
        :param known: the members that count.
        """
        last = self._views[-1] if self._views else None
        if last is None or (last.alive, last.known) != (alive, known):
            self._views.append(View(now, alive, known, {}))
        while len(self._views) > 1 and self._views[1].since <= (
            now - self._span
        ):
            self._views.popleft()

    def is_settled(self, now: clock.Ms) -> bool:
        """Tell whether the views reach back through the whole span.

        :param now: monotonic time in ms.
        """
        return bool(self._views) and self._views[0].since <= now - self._span

    def was_coordinator(self, key: str, name: str, now: clock.Ms) -> bool:
        """Tell whether a member was the keeper through the whole span.

        :param key: what is kept.
        :param name: the member.
        :param now: monotonic time in ms.
        """
        return self.is_settled(now) and all(
            view.coordinator(key) == name for view in self._views
        )

    def coordinator(self, key: str) -> str | None:
        """Return the keeper of a key in the present view.

        :param key: what is kept.
        """
        return self._views[-1].coordinator(key) if self._views else None

    def always_alive(self) -> frozenset[str]:
        """Return the members that were alive all the time."""
        return frozenset.intersection(*(view.alive for view in self._views))

    def ever_known(self) -> frozenset[str]:
        """Return the members that counted at any time."""
        return frozenset().union(*(view.known for view in self._views))
