"""Who may start in a replica pool that is nearly full."""

from collections.abc import Collection
import enum
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import classbalance
from citronvalve.policy import poolview
from citronvalve.policy import returnschedule
from citronvalve.policy import teamlimits

#: Part of the margin that kinds leave free which are served more often.
_KIND_PART = 0.25

#: Part of the time that a request may wait for a slot which the pool's mean
#: wait may take: waits at single replicas vary around it.
_WAIT_SHARE = 0.5


class Reason(enum.StrEnum):
    """Why a request is refused."""

    SHARE = "the team is above its share of the pool"
    LATE = "it would be late and delay others"
    KIND = "the last room is for kinds of request that are served less"


class Ask(NamedTuple):
    """A request for a slot.

    ``cost`` is the expected time in a slot in ms, and ``slack`` the ms that
    it may wait for one and be in time.  ``has_returned`` is true for a caller
    that was refused before.  ``is_late`` means that no replica is expected to
    be in time.
    """

    pool: str
    team: str
    kind: classbalance.Kind
    cost: float
    slack: float
    has_returned: bool
    is_late: bool


class Verdict(NamedTuple):
    """A decision and what it is based on; no ``reason`` if it may start.

    ``excess`` is that of the pool, and ``age`` the age in ms of what is known
    of it.
    """

    reason: Reason | None
    use: poolview.TeamUse
    excess: float
    age: clock.Ms


class _Pool:
    """What a daemon keeps of one pool."""

    def __init__(self, rng: random.Random) -> None:
        self.balance = classbalance.ClassBalance()
        self.returns = returnschedule.ReturnSchedule()
        self.limits = teamlimits.TeamLimits(rng)
        self.is_in_excess = False

    def update(
        self, view: poolview.PoolView, room: poolview.Room, now: clock.Ms
    ) -> None:
        """Enter the excess when no slot is free, leave it past the margin."""
        if view.free <= 0:
            self.is_in_excess = True
        elif view.free > room.margin * view.slots:
            self.is_in_excess = False
        if self.is_in_excess:
            self.returns.record_excess(now)


class PoolGate:
    """Decides who starts while a pool is nearly full, and who comes back.

    An excess begins when no slot is free, and ends when more than the margin
    is.  Meanwhile a request starts if it can still be in time behind those
    that its daemon has in its part of the slots, and teams above their share
    leave the margin to the others.  Callers that come back start while a slot
    is free, before new ones that would be late.

    :param rng: random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pool_by_name: dict[str, _Pool] = {}

    def limited(self, pool: str, now: clock.Ms) -> Collection[str]:
        """Return the teams that are limited to their share of a pool.

        :param pool: its name.
        :param now: monotonic ms.
        """
        return self._pool(pool).limits.limited(now)

    def record_asked(self, ask: Ask, now: clock.Ms) -> None:
        """Count a request, once.

        :param ask: the request.
        :param now: monotonic ms.
        """
        if not ask.has_returned:
            balance = self._pool(ask.pool).balance
            balance.record_asked(ask.kind, ask.cost, now)

    def record_started(self, ask: Ask, now: clock.Ms) -> None:
        """Count a request that starts.

        :param ask: the request.
        :param now: monotonic ms.
        """
        self._pool(ask.pool).balance.record_served(ask.kind, now)

    def decide(
        self,
        ask: Ask,
        use: poolview.TeamUse,
        view: poolview.PoolView,
        room: poolview.Room,
        now: clock.Ms,
    ) -> Verdict:
        """Return whether a request may start now.

        :param ask: the request.
        :param use: of its team.
        :param view: of its pool.
        :param room: how fast the pool's room changes.
        :param now: monotonic ms.
        """
        pool = self._pool(ask.pool)
        pool.update(view, room, now)
        reason = None
        if pool.limits.refuses(ask.team, use, view, room, now):
            reason = Reason.SHARE
        elif pool.is_in_excess:
            reason = self._excess_reason(pool, ask, view, room, now)
        return Verdict(reason, use, view.excess, view.age)

    def retry_after(
        self,
        pool: str,
        free_rate: float,
        earliest: float,
        latest: float,
        now: clock.Ms,
    ) -> float:
        """Return the ms after which a refused caller should come back.

        :param pool: name of the pool.
        :param free_rate: slots that become free for this daemon, a ms.
        :param earliest: least ms.
        :param latest: most ms.
        :param now: monotonic ms.
        """
        return self._pool(pool).returns.schedule(
            free_rate, earliest, latest, self._rng.random(), now
        )

    def _excess_reason(
        self,
        pool: _Pool,
        ask: Ask,
        view: poolview.PoolView,
        room: poolview.Room,
        now: clock.Ms,
    ) -> Reason | None:
        """Return why a request may not start in an excess, None if it may."""
        if ask.has_returned:
            return Reason.LATE if view.free <= 0 else None
        queue = _WAIT_SHARE * max(0.0, ask.slack) / room.duration
        if pool.limits.limited(now):
            # By its part, those within their share would pay for the others.
            is_late = ask.is_late or view.free <= -queue * view.slots
            return Reason.LATE if is_late else None
        free = self._free_part(view, room)
        if ask.is_late or free <= -queue:
            return Reason.LATE
        if free <= _KIND_PART * room.margin and pool.balance.must_yield(
            ask.kind
        ):
            return Reason.KIND
        return None

    def _free_part(
        self, view: poolview.PoolView, room: poolview.Room
    ) -> float:
        """Return how much of its part of the pool a daemon has free.

        All daemons see the same free slots, and each of them would fill them.
        What it has itself, it knows without delay.
        """
        if view.is_alone or view.free > room.margin * view.slots:
            return view.free / max(1.0, view.slots)
        part = max(1.0, view.all_teams.own_part(room.daemon_count))
        return 1 - (view.own + self._rng.random()) / part

    def _pool(self, name: str) -> _Pool:
        pool = self._pool_by_name.get(name)
        if pool is None:
            pool = self._pool_by_name[name] = _Pool(self._rng)
        return pool
