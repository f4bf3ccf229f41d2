"""Counts of the callers that were refused for the need of upstreams."""

import collections
from collections.abc import Collection

from citronvalve.forward import environment as environments


class RefusalCounts:
    """Counts refused callers by upstream, and by team in the metrics.

    :param env: the daemon's environment.
    :param need: the need, as a label of the metrics.
    """

    def __init__(self, env: environments.Environment, need: str) -> None:
        self._env = env
        self._need = need
        self._count_by_upstream: collections.Counter[str] = (
            collections.Counter()
        )

    def record(self, upstreams: Collection[str], team: str) -> None:
        """Count a refused caller.

        :param upstreams: ids of the upstreams in need; none is no refusal.
        :param team: the caller's team.
        """
        if upstreams:
            self._count_by_upstream.update(upstreams)
            self._env.metrics.record_need_refusal(self._need, team)

    def take(self, upstream: str) -> int:
        """Return an upstream's count, and begin anew.

        :param upstream: its id.
        """
        return self._count_by_upstream.pop(upstream, 0)

    def retain(self, upstreams: set[str]) -> None:
        """Forget all other upstreams.

        :param upstreams: the ids to keep.
        """
        for upstream in self._count_by_upstream.keys() - upstreams:
            del self._count_by_upstream[upstream]
