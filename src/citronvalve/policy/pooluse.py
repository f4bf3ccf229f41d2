"""This daemon's requests in progress by replica pool and team."""

import heapq

from citronvalve.model import clock

#: Teams of a pool that a report names; the rest is summed, so that reports
#: and the state of their receivers stay bounded.
MAX_TEAMS = 32

#: Name of the sum of the teams that a report doesn't name.
REST = "*"

#: Requests without a team count as one team of this name.
NO_TEAM = ""

#: Use is reported for this long after a pool was last nearly full.
_REPORT_TIME: clock.Ms = 1_000


class PoolUse:
    """Counts requests by pool and team, and what of it reports state."""

    def __init__(self) -> None:
        self._use_by_pool: dict[str, dict[str, int]] = {}
        self._total_by_pool: dict[str, int] = {}
        self._pressed_at_by_pool: dict[str, clock.Ms] = {}

    def add(self, pool: str, team: str) -> None:
        """Count a request that begins.

        :param pool: its pool.
        :param team: its team.
        """
        use_by_team = self._use_by_pool.setdefault(pool, {})
        use_by_team[team] = use_by_team.get(team, 0) + 1
        self._total_by_pool[pool] = self.total(pool) + 1

    def remove(self, pool: str, team: str) -> None:
        """Count a request that ends.

        :param pool: its pool.
        :param team: its team.
        """
        use_by_team = self._use_by_pool[pool]
        use_by_team[team] -= 1
        if not use_by_team[team]:
            del use_by_team[team]
        self._total_by_pool[pool] -= 1
        if not use_by_team:
            del self._use_by_pool[pool], self._total_by_pool[pool]

    def total(self, pool: str) -> int:
        """Return the number of requests in a pool.

        :param pool: the pool.
        """
        return self._total_by_pool.get(pool, 0)

    def use_by_team(self, pool: str) -> dict[str, int]:
        """Return the requests in a pool, by team.

        :param pool: the pool.
        """
        return self._use_by_pool.get(pool, {})

    def record_pressure(self, pool: str, now: clock.Ms) -> None:
        """Record that a pool is nearly full.

        :param pool: the pool.
        :param now: monotonic ms.
        """
        self._pressed_at_by_pool[pool] = now

    def report(self, now: clock.Ms) -> dict[str, dict[str, int]]:
        """Return what other daemons are to know, by pool and team.

        :param now: monotonic ms.
        """
        for pool, pressed_at in list(self._pressed_at_by_pool.items()):
            if now - pressed_at >= _REPORT_TIME:
                del self._pressed_at_by_pool[pool]
        return {
            pool: _largest(use_by_team)
            for pool in self._pressed_at_by_pool
            if (use_by_team := self._use_by_pool.get(pool))
        }


def _largest(use_by_team: dict[str, int]) -> dict[str, int]:
    if len(use_by_team) <= MAX_TEAMS:
        return dict(use_by_team)
    largest = heapq.nlargest(
        MAX_TEAMS, use_by_team.items(), key=lambda item: item[1]
    )
    rest = sum(use_by_team.values()) - sum(use for _, use in largest)
    return {**dict(largest), REST: rest}
