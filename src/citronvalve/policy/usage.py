"""The number of slots that each team has recently used."""

import collections.abc

from citronvalve.model import clock

#: Half-life of recorded use: long enough to smooth single requests, short
#: enough to free the share of a team that has stopped.
_HALF_LIFE: clock.Ms = 2_000

#: The decayed sum of service time divided by this is a number of slots.
_MEAN_LIFE = _HALF_LIFE / 0.693

#: Number of slots below which a team is dropped.
_IDLE_SLOTS = 0.01


class Usage:
    """Tracks the decayed service time of each team, as slots."""

    def __init__(self) -> None:
        self._sum_by_team: dict[str, float] = {}
        self._decayed_at: clock.Ms = 0

    def add(self, team: str, cost: clock.Ms, now: clock.Ms) -> None:
        """Count a request that starts.

        :param team: the request's team.
        :param cost: expected service time in ms.
        :param now: monotonic ms.
        """
        self._decay(now)
        self._sum_by_team[team] = self._sum_by_team.get(team, 0.0) + cost

    def available_slots(
        self,
        team: str,
        slots: float,
        weight_of: collections.abc.Callable[[str], float],
        waiting: collections.abc.Collection[str],
        now: clock.Ms,
    ) -> float:
        """Return the number of slots that a team can rely on.

        These are all slots but those that other teams use within their fair
        shares, since fair queueing takes back what they use beyond them.  A
        team with queued requests counts with its whole share: its recent
        use fluctuates, and with it the same slots would be promised twice.

        :param team: the team.
        :param slots: total number of slots.
        :param weight_of: returns a team's weight.
        :param waiting: teams with queued requests.
        :param now: monotonic ms.
        """
        self._decay(now)
        teams = {*self._sum_by_team, *waiting, team}
        total_weight = sum(weight_of(name) for name in teams)
        taken = 0.0
        for name in teams - {team}:
            fair = slots * weight_of(name) / total_weight
            used = self._sum_by_team.get(name, 0.0) / _MEAN_LIFE
            taken += fair if name in waiting else min(used, fair)
        return max(slots - taken, slots * weight_of(team) / total_weight)

    def _decay(self, now: clock.Ms) -> None:
        if now <= self._decayed_at:
            return
        factor = 0.5 ** ((now - self._decayed_at) / _HALF_LIFE)
        self._decayed_at = now
        self._sum_by_team = {
            name: total * factor
            for name, total in self._sum_by_team.items()
            if total * factor / _MEAN_LIFE > _IDLE_SLOTS
        }
