"""How many slots each team has used of late."""

import collections.abc

from citronvalve.model import clock

#: Half of an old use is forgotten after this time: long enough to smooth
#: single requests, short enough to free the share of a team that stopped.
_HALF_LIFE: clock.Ms = 2_000

#: A decayed sum of use divided by this is a mean number of slots.
_MEAN_LIFE = _HALF_LIFE / 0.693

#: Slots below which a team counts as gone.
_IDLE_SLOTS = 0.01


class Usage:
    """The decayed service time that teams were given, as slots."""

    def __init__(self) -> None:
        self._sum_by_team: dict[str, float] = {}
        self._decayed_at: clock.Ms = 0

    def add(self, team: str, cost: clock.Ms, now: clock.Ms) -> None:
        """Count work that starts.

        :param team: whose work.
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
        """Return the slots that a team can count on.

        What the others use, each up to its fair share, is not to be had;
        all else is, since fair queueing takes it back from who has it.  A
        team with work waiting will use its whole share: its use of late
        swings by chance, and counting it would promise slots twice.

        :param team: who asks.
        :param slots: slots in all.
        :param weight_of: gives a team's weight.
        :param waiting: teams with work in the queue.
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
