"""What a daemon knows of one replica pool: room, use and their age."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import pooluse
from citronvalve.policy import teamshares
from citronvalve.policy import upstreamchoice

#: Replicas whose load is summed; of more a regular sample is taken.
_MAX_SUMMED = 64

#: A view is renewed after this time, the least interval of load reports.
_VALID_TIME: clock.Ms = 50


#: Part of a share that is divided among daemons by their use of it; the rest
#: is divided evenly.
_BY_USE_PART = 0.5

#: Bounds of the margin.
_MIN_MARGIN = 0.02
_MAX_MARGIN = 0.2


class Room(NamedTuple):
    """How fast a pool's room changes.

    A typical request takes a slot for ``duration`` ms.  Until the next load
    report ``margin`` changes, as a part of the slots.  ``daemon_count``
    daemons use the pool.
    """

    duration: float
    margin: float
    daemon_count: int


class TeamUse(NamedTuple):
    """A team's requests in progress in a pool.

    ``own`` are those of this daemon, and ``total`` those of all as known.
    ``share`` is infinite if the pool has room for all teams.
    """

    own: int
    total: float
    share: float

    def own_part(self, daemon_count: int) -> float:
        """Return how much of the share this daemon may use.

        :param daemon_count: how many daemons use the pool.
        """
        evenly = (1 - _BY_USE_PART) / max(1, daemon_count)
        by_use = _BY_USE_PART * self.own / max(1.0, self.total)
        return self.share * (evenly + by_use)


class PoolView(NamedTuple):
    """A view of a pool.

    ``slots`` serve ``in_use`` requests, of which some may wait, and ``own``
    are this daemon's.  Without
    fresh reports (``is_alone``) both are the daemon's own part.  ``level`` is
    the share of a team of weight 1, infinite if there is room for all.
    ``others_by_team`` is the use that other daemons report.  ``age`` is that
    of the reports in ms.
    """

    slots: float
    in_use: float
    own: int
    level: float
    others_by_team: dict[str, int]
    is_alone: bool
    age: clock.Ms

    @property
    def free(self) -> float:
        """Return the free slots."""
        return self.slots - self.in_use

    @property
    def all_teams(self) -> TeamUse:
        """Return the use of all teams together, whose share is the pool."""
        return TeamUse(self.own, self.in_use, self.slots)

    @property
    def excess(self) -> float:
        """Return the requests beyond the slots, as a part of them."""
        return max(0.0, -self.free) / max(1.0, self.slots)


class _Held(NamedTuple):
    view: PoolView
    own: int
    at: clock.Ms


class PoolViews:
    """The views of all pools, renewed as often as reports come.

    :param loads: the loads of upstreams and other daemons' reports.
    :param use: this daemon's use.
    """

    def __init__(
        self, loads: upstreamchoice.LoadTable, use: pooluse.PoolUse
    ) -> None:
        self._loads = loads
        self._use = use
        self._held_by_pool: dict[str, _Held] = {}
        self._weight_by_team: Mapping[str, float] = {}

    def set_weights(self, weight_by_team: Mapping[str, float]) -> None:
        """Set the weights of the configuration.

        :param weight_by_team: above 0; 1 for a team that it lacks.
        """
        self._weight_by_team = weight_by_team

    def view(
        self,
        pool: str,
        candidates: Collection[upstreamchoice.Candidate],
        slots: float,
        room: Room,
        greedy: Collection[str],
        now: clock.Ms,
    ) -> PoolView:
        """Return the view of a pool.

        :param pool: its name.
        :param candidates: its open replicas.
        :param slots: of all of them.
        :param room: how fast its room changes.
        :param greedy: teams that take whatever they get.
        :param now: monotonic ms.
        """
        held = self._held_by_pool.get(pool)
        own = self._use.total(pool)
        if held is not None and now - held.at < _VALID_TIME:
            in_use = held.view.in_use + own - held.own
            return held.view._replace(in_use=in_use, own=own)
        view = self._make(pool, candidates, slots, room, greedy, now)
        self._held_by_pool[pool] = _Held(view, own, now)
        return view

    def team_use(self, pool: str, team: str, view: PoolView) -> TeamUse:
        """Return a team's use of a pool.

        :param pool: its name.
        :param team: the team's name.
        :param view: of the pool.
        """
        own = self._use.use_by_team(pool).get(team, 0)
        total = own + view.others_by_team.get(team, 0)
        weight = self._weight_by_team.get(team, 1.0)
        return TeamUse(own, total, view.level * weight)

    def _make(
        self,
        pool: str,
        candidates: Collection[upstreamchoice.Candidate],
        slots: float,
        room: Room,
        greedy: Collection[str],
        now: clock.Ms,
    ) -> PoolView:
        remote = self._loads.remote_loads
        age = remote.age(now)
        own_by_team = self._use.use_by_team(pool)
        others_by_team: dict[str, int] = {}
        if age is None:
            slots /= max(1, room.daemon_count)
            in_use = float(sum(own_by_team.values()))
        else:
            in_use = self._in_use(candidates, now)
            others_by_team = remote.use_by_team(pool, now)
        use_by_team: dict[str, float] = dict(others_by_team)
        for team, use in own_by_team.items():
            use_by_team[team] = use_by_team.get(team, 0) + use
        for team in greedy:
            use_by_team.setdefault(team, 0)
        level = teamshares.level(
            use_by_team,
            self._weight_by_team,
            (1 - room.margin) * slots,
            greedy,
        )
        return PoolView(
            slots,
            in_use,
            self._use.total(pool),
            level,
            others_by_team,
            age is None,
            age or 0,
        )

    def _in_use(
        self,
        candidates: Collection[upstreamchoice.Candidate],
        now: clock.Ms,
    ) -> float:
        step = -(-len(candidates) // _MAX_SUMMED) or 1
        sampled = [
            candidate
            for number, candidate in enumerate(candidates)
            if number % step == 0
        ]
        total = sum(
            self._loads.of(candidate.upstream).total(now)
            for candidate in sampled
        )
        return total * len(candidates) / max(1, len(sampled))


def margin(report_age: float, duration: float) -> float:
    """Return the part of a pool's slots that changes between reports.

    :param report_age: ms between two reports.
    :param duration: ms of a typical request.
    """
    part = report_age / max(1.0, duration)
    return min(_MAX_MARGIN, max(_MIN_MARGIN, part))
