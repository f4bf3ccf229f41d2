"""Starts of upstreams that were lost, and what ran there."""

import itertools

from citronvalve.model import clock
from citronvalve.policy import crashevidence

#: Time before the last loss of a content in which upstreams that were lost
#: without it show how often they crash by chance.
_CHANCE_TIME: clock.Ms = 10_000

#: Starts that are looked at for it, the newest ones.
_MAX_LOOKED_AT = 256

#: Part of the upstreams that was lost by chance in that time, from the most to
#: the least, and how many losses of a content may be by chance then.
_CHANCE_TABLE = ((1.0, 3), (0.25, 2))


class LostStarts:
    """Keeps which contents were lost with which start, in order of time."""

    def __init__(self) -> None:
        self._contents_by_start: dict[int, set[int]] = {}
        self._lost_at_by_start: dict[int, clock.Ms] = {}

    def add(self, loss: crashevidence.Loss) -> None:
        """Add a loss.

        :param loss: seen here or by another daemon.
        """
        self._contents_by_start.setdefault(loss.start, set()).add(loss.content)
        self._lost_at_by_start.setdefault(loss.start, loss.at)

    def forget(self, start: int, content: int) -> None:
        """Forget that a content was lost with a start.

        :param start: digest of the upstream and its start.
        :param content: the content.
        """
        contents = self._contents_by_start[start]
        contents.discard(content)
        if not contents:
            del self._contents_by_start[start]
            del self._lost_at_by_start[start]

    def contents(self, start: int) -> set[int]:
        """Return the contents that were lost with a start.

        :param start: digest of the upstream and its start.
        """
        return self._contents_by_start[start]

    def lost_at(self, start: int) -> clock.Ms | None:
        """Return when a start was lost, in monotonic ms; None if unknown.

        :param start: digest of the upstream and its start.
        """
        return self._lost_at_by_start.get(start)

    def lost_without(self, losses: list[crashevidence.Loss]) -> list[int]:
        """Return the starts that were lost around a content and without it.

        :param losses: that count against the content.
        """
        own = {loss.start for loss in losses}
        times = [loss.at for loss in losses]
        last = max(times)
        since = min(last - _CHANCE_TIME, *times)
        newest = itertools.islice(
            reversed(self._lost_at_by_start.items()), _MAX_LOOKED_AT
        )
        return [
            start
            for start, at in newest
            if since <= at <= last and start not in own
        ]


def losses_by_chance(lost: int, upstreams: int) -> int:
    """Return how many losses of a content may be by chance.

    :param lost: upstreams that were lost without it.
    :param upstreams: how many run requests, 0 if that is unknown; then none
        counts as lost by chance.
    """
    if not upstreams:
        return 0
    most = next(
        (most for part, most in _CHANCE_TABLE if lost > part * upstreams), 0
    )
    return min(lost, most)
