"""Shows operators what a data centre sends to others, in metrics and log."""

import collections

from citronvalve.forward import environment as environments
from citronvalve.model import clock

#: Least time between two log lines of a data centre.
_LOG_INTERVAL: clock.Ms = 10 * clock.SECOND


class ExcessReport:
    """Counts the requests that go elsewhere for lack of room.

    :param env: the daemon's environment.
    """

    def __init__(self, env: environments.Environment) -> None:
        self._env = env
        self._count_by_datacentre: collections.Counter[str] = (
            collections.Counter()
        )
        self._logged_at: dict[str, clock.Ms] = {}

    def record(self, datacentre: str) -> None:
        """Count a request.

        :param datacentre: where it goes.
        """
        self._env.metrics.record_excess(datacentre)
        self._count_by_datacentre[datacentre] += 1

    def update(self) -> None:
        """Log what has been sent since the last line."""
        now = self._env.clock.now()
        for datacentre, count in list(self._count_by_datacentre.items()):
            logged_at = self._logged_at.get(datacentre)
            if logged_at is not None and now - logged_at < _LOG_INTERVAL:
                continue
            self._logged_at[datacentre] = now
            del self._count_by_datacentre[datacentre]
            self._env.log.change("excess sent", to=datacentre, requests=count)
