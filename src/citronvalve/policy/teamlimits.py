"""Limits on the teams that are above their share of a replica pool."""

from collections.abc import Collection
import random

from citronvalve.model import clock
from citronvalve.policy import poolview

#: A team is limited for this long after it was last refused.
_LIMITED_TIME: clock.Ms = 1_000

#: A team becomes limited when less of the margin than this is free.
_ENTRY_PART = 0.25

#: Standard deviations by which the use of a team that asks for its share may
#: exceed it by chance.
_CHANCE = 3.0


class TeamLimits:
    """The limited teams of one pool.

    The use that other daemons report is old, so a daemon holds a limited
    team to its own part of the share, which it knows exactly.

    :param rng: random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        #: Sorted by time.
        self._until_by_team: dict[str, clock.Ms] = {}

    def limited(self, now: clock.Ms) -> Collection[str]:
        """Return the limited teams.

        :param now: monotonic ms.
        """
        until_by_team = self._until_by_team
        while until_by_team:
            team = next(iter(until_by_team))
            if until_by_team[team] > now:
                break
            del until_by_team[team]
        return until_by_team.keys()

    def refuses(
        self,
        team: str,
        use: poolview.TeamUse,
        view: poolview.PoolView,
        room: poolview.Room,
        now: clock.Ms,
    ) -> bool:
        """Return whether a team may not start another request.

        :param team: its name.
        :param use: its use and share.
        :param view: of the pool.
        :param room: how fast the pool's room changes.
        :param now: monotonic ms.
        """
        limited = self.limited(now)
        is_nearly_full = view.free <= _ENTRY_PART * room.margin * view.slots
        is_above = use.total >= use.share + _CHANCE * use.share**0.5
        if is_nearly_full and is_above:
            self._limit(team, now)
        elif team not in limited:
            return False
        part = use.share if view.is_alone else use.own_part(room.daemon_count)
        # The fraction of a request counts by chance.
        if use.own + self._rng.random() < part:
            return False
        self._limit(team, now)
        return True

    def _limit(self, team: str, now: clock.Ms) -> None:
        self._until_by_team.pop(team, None)
        self._until_by_team[team] = now + _LIMITED_TIME
