"""Choice of upstreams that sends a data centre's excess to others."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import datacentrerooms
from citronvalve.policy import enginepace
from citronvalve.policy import evenchoice
from citronvalve.policy import roomloss
from citronvalve.policy import roomshare
from citronvalve.policy import upstreamchoice

#: Replicas of all data centres that are looked at in a large site, for one of
#: a data centre.
_LOOKED_AT = 48


class _Excess(NamedTuple):
    """A ``part`` of the requests goes to ``datacentre``."""

    datacentre: str
    part: float


class DatacentreChoice(evenchoice.EvenChoice):
    """Prefers another data centre where callers lose less.

    A request goes to the daemon's share of replicas first.  With that full,
    it goes to another data centre with a chance that grows with what it
    gains there: how much less likely a slot that seems free is taken,
    without the time of the way and what traffic between data centres costs.

    :param loads: the loads.
    :param rng: random source.
    :param turn: as in :class:`evenchoice.EvenChoice`.
    :ivar on_excess: called with the data centre that a request goes to.
    """

    def __init__(
        self,
        loads: upstreamchoice.LoadTable,
        rng: random.Random,
        turn: Callable[[], roomshare.Turn | None],
    ) -> None:
        super().__init__(loads, rng, turn)
        self._rooms = datacentrerooms.DatacentreRooms(
            loads, lambda found: self._sample(found, evenchoice.MAX_DRAWN)
        )
        self.on_excess: Callable[[str], None] = lambda datacentre: None

    def _with_room(
        self,
        turn: roomshare.Turn,
        job: upstreamchoice.Job,
        candidates: Sequence[upstreamchoice.Candidate],
        local: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> tuple[upstreamchoice.Candidate, float] | None:
        excess = self._excess(job, candidates, pace, now)
        if excess is None:
            return super()._with_room(turn, job, candidates, local, pace, now)
        return (
            self._from_share(turn, local, pace, now)
            or self._elsewhere(excess, job, candidates, pace, now)
            or super()._with_room(turn, job, candidates, local, pace, now)
        )

    def _excess(
        self,
        job: upstreamchoice.Job,
        candidates: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> _Excess | None:
        """Return what goes to which data centre, None if nothing does."""
        if job.objective <= 0 or self._loads.remote_loads.age(now) is None:
            return None
        renewed = self._renewed_unseen(pace)
        loss = self._rooms.here(candidates, pace, renewed, now)
        if loss * job.objective <= upstreamchoice.REMOTE_PENALTY:
            return None
        room_by_datacentre = {
            datacentre: room
            for datacentre, room in self._rooms.elsewhere(pace).items()
            if room.remaining > 0
        }
        if not room_by_datacentre:
            return None
        weights = [room.remaining for room in room_by_datacentre.values()]
        [drawn] = self._rng.choices(list(room_by_datacentre), weights)
        found = room_by_datacentre[drawn]
        time = upstreamchoice.REMOTE_PENALTY + 2 * found.latency
        part = found.trust * roomloss.part_elsewhere(
            loss, found.loss, time / job.objective
        )
        return _Excess(drawn, part) if part else None

    def _elsewhere(
        self,
        excess: _Excess,
        job: upstreamchoice.Job,
        candidates: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> tuple[upstreamchoice.Candidate, float] | None:
        """Return a replica of the other data centre, for a part of calls."""
        if self._rng.random() >= excess.part:
            return None
        some = candidates
        if len(candidates) > evenchoice.MAX_RANKED:
            some = self._rng.choices(candidates, k=_LOOKED_AT)
        remote = [c for c in some if c.datacentre == excess.datacentre]
        found = self._drawn(remote, pace, now)
        if found is None or self._with_forecast(job, *found, pace).late:
            return None
        self.on_excess(excess.datacentre)
        return found
