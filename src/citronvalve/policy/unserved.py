"""Requests that no replica of their model could take."""

from citronvalve.model import clock
from citronvalve.policy import remoteloads
from citronvalve.policy import slidingcount

#: Counts cover this time, so a count is also a rate per second.
_WINDOW: clock.Ms = 1_000


def key(service: str, model: str) -> str:
    """Return the key of a model's refused requests among those of upstreams.

    :param service: its service.
    :param model: the model.
    """
    return f"unserved/{service}/{model}"


class Unserved:
    """Counts this daemon's refused requests of the last second by model.

    They are reported with the requests at upstreams, which daemons and
    coordinators sum up by key, so they take no messages of their own.
    """

    def __init__(self) -> None:
        self._count_by_key: dict[str, slidingcount.SlidingCount] = {}

    def record(self, service: str, model: str, now: clock.Ms) -> None:
        """Record a request that was refused for want of a replica.

        :param service: its service.
        :param model: its model.
        :param now: monotonic ms.
        """
        name = key(service, model)
        count = self._count_by_key.get(name)
        if count is None:
            count = slidingcount.SlidingCount(_WINDOW)
            self._count_by_key[name] = count
        count.add(now)

    def counts(self, now: clock.Ms) -> remoteloads.CountByUpstream:
        """Return the refused requests of the last second, by key.

        :param now: monotonic ms.
        """
        counts = {n: c.count(now) for n, c in self._count_by_key.items()}
        return {name: (count, 0) for name, count in counts.items() if count}
