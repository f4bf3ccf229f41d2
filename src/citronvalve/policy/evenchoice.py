"""Choice of upstreams by which many daemons fill replicas evenly."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import enginepace
from citronvalve.policy import roomshare
from citronvalve.policy import upstreamchoice

#: Part of a replica's slots that stays free for what other daemons have sent
#: since their last report.
_RESERVE = 0.125

#: Most replicas of which one with a free slot is drawn, and that are ranked
#: by their forecasts; they bound the time of a choice in a large data centre.
MAX_DRAWN = 32
MAX_RANKED = 96

#: Part of a report's age within which free slots are taken unseen.
_UNSEEN_PART = 0.25

#: Validity of the sum of free slots.
_SCARCE_VALIDITY: clock.Ms = 50


class _Share(NamedTuple):
    """A daemon's parts of replicas, by their place in ``upstreams``."""

    turn: roomshare.Turn
    upstreams: list[str]
    parts: list[tuple[int, float]]


class EvenChoice(upstreamchoice.UpstreamChoice):
    """Prefers a share of the replicas that no other daemon prefers.

    A daemon counts its own requests exactly, so that the load of its share
    is known without delay.  While the share is full, a request goes to
    another replica, drawn in proportion to the cube of the free slots, so
    that daemons with equally old reports don't all choose the same one.
    Where hardly any slot is free, the choice is by forecast.

    :param loads: the loads.
    :param rng: random source.
    :param turn: returns the daemon's place in its data centre; None while
        reports are fresh, and the choice is by forecast alone.
    """

    def __init__(
        self,
        loads: upstreamchoice.LoadTable,
        rng: random.Random,
        turn: Callable[[], roomshare.Turn | None],
    ) -> None:
        super().__init__(loads, rng)
        self._turn = turn
        self._share_by_pace: dict[enginepace.EnginePace, _Share] = {}
        self._scarce_by_pace: dict[
            enginepace.EnginePace, tuple[clock.Ms, bool]
        ] = {}

    def choose(
        self,
        job: upstreamchoice.Job,
        candidates: Iterable[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> upstreamchoice.Chosen | upstreamchoice.Full:
        """Choose an engine for a request.

        :param job: the request's size and time limits.
        :param candidates: the open replicas of its model.
        :param pace: predicts the model's latency.
        :param now: monotonic ms.
        """
        turn = self._turn()
        if turn is None:
            return super().choose(job, candidates, pace, now)
        candidates = list(candidates)
        local = [c for c in candidates if c.is_local]
        found = self._with_room(turn, job, candidates, local, pace, now)
        chosen = found and self._with_forecast(job, *found, pace)
        if chosen and not chosen.late:
            return chosen
        return self._by_forecast(job, candidates, pace, now)

    def _with_room(
        self,
        turn: roomshare.Turn,
        job: upstreamchoice.Job,
        candidates: Sequence[upstreamchoice.Candidate],
        local: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> tuple[upstreamchoice.Candidate, float] | None:
        """Return a replica with a free slot and its load, if one is found."""
        if self._is_scarce(local, pace, now):
            return None
        return self._from_share(turn, local, pace, now) or self._drawn(
            local, pace, now
        )

    def _by_forecast(
        self,
        job: upstreamchoice.Job,
        candidates: list[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> upstreamchoice.Chosen | upstreamchoice.Full:
        sample = self._sample(candidates, MAX_RANKED)
        found = super().choose(job, sample, pace, now)
        if isinstance(found, upstreamchoice.Full) and sample is not candidates:
            # A request is refused only if no replica has room.
            return super().choose(job, candidates, pace, now)
        return found

    def _sample(
        self, candidates: Sequence[upstreamchoice.Candidate], most: int
    ) -> Sequence[upstreamchoice.Candidate]:
        if len(candidates) <= most:
            return candidates
        return self._rng.sample(candidates, most)

    def _is_scarce(
        self,
        local: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> bool:
        """Return whether others take more slots unseen than are free.

        Reports then show free slots that are already taken.
        """
        at, scarce = self._scarce_by_pace.get(pace, (-_SCARCE_VALIDITY, False))
        if now - at < _SCARCE_VALIDITY:
            return scarce
        taken = free = 0.0
        for candidate in self._sample(local, MAX_DRAWN):
            load = self._loads.of(candidate.upstream).total(now)
            taken += min(load, pace.slots)
            free += max(0.0, pace.slots - load)
        scarce = free < taken * self._renewed_unseen(pace)
        self._scarce_by_pace[pace] = now, scarce
        return scarce

    def _renewed_unseen(self, pace: enginepace.EnginePace) -> float:
        """Return the part of taken slots that others renew unseen."""
        whole = pace.typical_forecast(pace.slots).whole
        return _UNSEEN_PART * self.report_age() / whole

    def _from_share(
        self,
        turn: roomshare.Turn,
        local: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> tuple[upstreamchoice.Candidate, float] | None:
        """Return the least used replica of the share that has room."""
        best = None
        least = 0.0
        for index, part in self._share(turn, local, pace):
            candidate = local[index]
            load = self._room_load(candidate, part, pace, now)
            if load is None:
                continue
            own = self._loads.of(candidate.upstream).own + 1
            # Its own requests count for more where its part is smaller.
            rank = load + own * (1 / part - 1)
            if best is None or rank < least:
                best, least = (candidate, load), rank
        return best

    def _drawn(
        self,
        local: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> tuple[upstreamchoice.Candidate, float] | None:
        """Return a replica with room, drawn by its free slots."""
        found = [
            (candidate, load)
            for candidate in self._sample(local, MAX_DRAWN)
            if (load := self._room_load(candidate, 0.0, pace, now)) is not None
        ]
        if not found:
            return None
        weights = [(pace.slots - load) ** 3 for _, load in found]
        return self._rng.choices(found, weights)[0]

    def _room_load(
        self,
        candidate: upstreamchoice.Candidate,
        part: float,
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> float | None:
        """Return a replica's load, None if it gets no further request."""
        load = self._loads.of(candidate.upstream)
        if not upstreamchoice.is_available(load, now):
            return None
        total = load.total(now)
        room = pace.slots * (1 - (1 - part) * _RESERVE)
        return total if total + 1 <= room else None

    def _with_forecast(
        self,
        job: upstreamchoice.Job,
        candidate: upstreamchoice.Candidate,
        load: float,
        pace: enginepace.EnginePace,
    ) -> upstreamchoice.Chosen:
        forecast = pace.forecast(load, job.prompt, job.answer)
        late = forecast.first + 2 * candidate.latency > job.objective
        return upstreamchoice.Chosen(candidate.upstream, forecast, late)

    def _share(
        self,
        turn: roomshare.Turn,
        local: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
    ) -> list[tuple[int, float]]:
        upstreams = [candidate.upstream for candidate in local]
        known = self._share_by_pace.get(pace)
        if known is None or known[:2] != (turn, upstreams):
            part_by_upstream = roomshare.shares(turn, upstreams)
            parts = [
                (index, part_by_upstream[upstream])
                for index, upstream in enumerate(upstreams)
                if upstream in part_by_upstream
            ]
            known = _Share(turn, upstreams, parts)
            self._share_by_pace[pace] = known
        return known.parts
