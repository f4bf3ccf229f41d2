"""Request rates that upstreams have named, shared by all daemons."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple
import zlib

from citronvalve.model import clock
from citronvalve.policy import roomshare

#: Usable part of a rate: daemons may disagree for a moment on who they are.
_USABLE_PART = 0.9

#: Least rate in requests per second.  Only an answer shows that a limit is
#: over: at a lower rate an upstream would stay limited long after its need.
_MIN_RATE = 0.25

#: A turn lapses after this time.  Unused turns of many daemons would
#: otherwise be used at once.
_TURN_VALIDITY: clock.Ms = 1_000

#: Without an answer for this time, the daemons of the upstream's data centre
#: don't use it.
_UNUSED_TIME: clock.Ms = 8_000

#: The same in turns, for rates at which each daemon's turn is rarer.
_UNUSED_TURNS = 3

#: For this long the daemons of all data centres then take turns.
_SPREAD_TIME: clock.Ms = 60_000

#: Ends are kept for this time: a late message may name a limit that is over.
_END_VALIDITY: clock.Ms = 30_000


class Limit(NamedTuple):
    """The rate of one upstream, in requests per second from all daemons.

    ``began_at`` is when it was first named, ``heard_at`` when the newest
    answer came that names it, both in monotonic ms.
    """

    rate: float
    began_at: clock.Ms
    heard_at: clock.Ms


class Members(NamedTuple):
    """A daemon's places among those that share the limits.

    ``near`` is its place in its ``datacentre``, ``everywhere`` that among all
    daemons.
    """

    datacentre: str
    near: roomshare.Turn
    everywhere: roomshare.Turn
    size_by_datacentre: dict[str, int]

    def turn(self, datacentre: str) -> roomshare.Turn | None:
        """Return the place among those that use a data centre's upstreams.

        :param datacentre: the data centre.
        :returns: None if others use them.
        """
        if datacentre == self.datacentre:
            return self.near
        if self.size_by_datacentre.get(datacentre):
            return None
        return self.everywhere


def members_of(own: str, datacentre_by_name: Mapping[str, str]) -> Members:
    """Return a daemon's places.

    :param own: its name.
    :param datacentre_by_name: all daemons, with this one.
    """
    datacentre = datacentre_by_name[own]
    near = [n for n, one in datacentre_by_name.items() if one == datacentre]
    return Members(
        datacentre,
        roomshare.Turn(sorted(near).index(own), len(near)),
        roomshare.Turn(
            sorted(datacentre_by_name).index(own), len(datacentre_by_name)
        ),
        collections.Counter(datacentre_by_name.values()),
    )


class NextTurn(NamedTuple):
    """When a daemon may next send: its next turn, and its turns' interval.

    Both are in ms, and infinite if it has no turn.
    """

    wait: float
    interval: float


class UpstreamLimits:
    """The limits in force, and this daemon's turns to send.

    Each daemon sends one request at its turn.  The turns follow from the
    time since a limit was first named, so that daemons that agree on it keep
    rates of less than one request per second for each of them, too, without
    a message for each request.

    :ivar limit_by_upstream: the limits in force.
    :ivar ended_at_by_upstream: monotonic ms at which others ended.
    """

    def __init__(self) -> None:
        self.limit_by_upstream: dict[str, Limit] = {}
        self.ended_at_by_upstream: dict[str, clock.Ms] = {}
        self._sent_at_by_upstream: dict[str, clock.Ms] = {}
        self._spread_until_by_upstream: dict[str, clock.Ms] = {}

    def record(self, upstream: str, limit: Limit) -> bool:
        """Record a limit; return whether another rate is now in force.

        :param upstream: its id.
        :param limit: as heard here or by another daemon.
        """
        ended_at = self.ended_at_by_upstream.get(upstream)
        if ended_at is not None and limit.heard_at <= ended_at:
            return False
        known = self.limit_by_upstream.get(upstream)
        merged = limit
        if known is not None:
            newest = max(known, limit, key=lambda one: one.heard_at)
            began_at = min(known.began_at, limit.began_at)
            merged = newest._replace(began_at=began_at)
        self.limit_by_upstream[upstream] = merged
        return known is None or known.rate != merged.rate

    def record_end(self, upstream: str, at: clock.Ms) -> Limit | None:
        """Record that a limit is over; return it if it was in force.

        :param upstream: its id.
        :param at: monotonic ms at which the upstream had no limit.
        """
        limit = self.limit_by_upstream.get(upstream)
        if limit is None or limit.heard_at >= at:
            return None
        self.ended_at_by_upstream[upstream] = at
        self._spread_until_by_upstream.pop(upstream, None)
        return self.limit_by_upstream.pop(upstream)

    def retain(self, upstreams: set[str], now: clock.Ms) -> None:
        """Drop other upstreams, and ends that no message contradicts.

        :param upstreams: the ids to keep.
        :param now: monotonic ms.
        """
        for upstream in self.limit_by_upstream.keys() - upstreams:
            del self.limit_by_upstream[upstream]
        for at_by_upstream in (
            self._sent_at_by_upstream,
            self._spread_until_by_upstream,
        ):
            for upstream in at_by_upstream.keys() - upstreams:
                del at_by_upstream[upstream]
        self.ended_at_by_upstream = {
            upstream: at
            for upstream, at in self.ended_at_by_upstream.items()
            if now - at < _END_VALIDITY
        }

    def is_due(
        self,
        upstream: str,
        datacentre: str,
        members: Members,
        now: clock.Ms,
    ) -> bool:
        """Return whether a request may be sent to an upstream.

        :param upstream: its id.
        :param datacentre: its data centre.
        :param members: this daemon's places.
        :param now: monotonic ms.
        """
        limit = self.limit_by_upstream.get(upstream)
        if limit is None:
            return True
        width = _width(limit)
        turn = self._turn(upstream, datacentre, members, now)
        if turn is None:
            return False
        period = width * turn.daemons
        age = _turn_age(limit, turn, now)
        if age is None or age >= max(width, min(_TURN_VALIDITY, period)):
            return False
        sent_at = self._sent_at_by_upstream.get(upstream)
        # Another rate moves the turns.
        return sent_at is None or now - sent_at > max(age, period / 2)

    def record_sent(self, upstream: str, now: clock.Ms) -> None:
        """Record that a request is about to be sent.

        :param upstream: its id.
        :param now: monotonic ms.
        """
        if upstream in self.limit_by_upstream:
            self._sent_at_by_upstream[upstream] = now

    def next_turn(
        self,
        upstreams: Iterable[tuple[str, str]],
        members: Members,
        now: clock.Ms,
    ) -> NextTurn:
        """Return when this daemon may next send to any of some upstreams.

        :param upstreams: ids and data centres.
        :param members: this daemon's places.
        :param now: monotonic ms.
        """
        wait, rate = math.inf, 0.0
        for upstream, datacentre in upstreams:
            limit = self.limit_by_upstream.get(upstream)
            if limit is None:
                continue
            turn = self._turn(upstream, datacentre, members, now)
            if turn is None:
                continue
            width = _width(limit)
            period = width * turn.daemons
            offset = limit.began_at + turn.position * width - now
            wait = min(wait, offset % period)
            rate += 1 / period
        return NextTurn(wait, 1 / rate if rate else math.inf)

    def _turn(
        self,
        upstream: str,
        datacentre: str,
        members: Members,
        now: clock.Ms,
    ) -> roomshare.Turn | None:
        """Return a daemon's place among those that use an upstream."""
        limit = self.limit_by_upstream[upstream]
        size = members.size_by_datacentre.get(datacentre, 0)
        unused = max(_UNUSED_TIME, _UNUSED_TURNS * size * _width(limit))
        if now - limit.heard_at > unused:
            self._spread_until_by_upstream[upstream] = now + _SPREAD_TIME
        is_spread = now < self._spread_until_by_upstream.get(upstream, now)
        turn = members.everywhere if is_spread else members.turn(datacentre)
        if turn is None:
            return None
        # Upstreams that are limited together begin with different daemons.
        first = zlib.crc32(upstream.encode())
        return turn._replace(position=(turn.position + first) % turn.daemons)


def _width(limit: Limit) -> float:
    """Return the ms between two requests of all daemons."""
    return clock.SECOND / (_USABLE_PART * max(limit.rate, _MIN_RATE))


def _turn_age(
    limit: Limit, turn: roomshare.Turn, now: clock.Ms
) -> float | None:
    """Return the ms since a daemon's last turn began, None before one."""
    width = _width(limit)
    since_first = now - limit.began_at - turn.position * width
    return since_first % (width * turn.daemons) if since_first >= 0 else None
