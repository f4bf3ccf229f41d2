"""Chooses the upstream of a request, or says when there will be room."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import circuit
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamload

#: Spread in ms that is added by chance: daemons that choose at the same
#: moment from the same news would otherwise all choose the same upstream.
_JITTER = 8.0

#: An upstream of another data centre is taken when it is this many ms
#: better: bytes between data centres are paid for, and a cut takes it away.
_FAR = 40.0


class Candidate(NamedTuple):
    """An upstream that may take the request; ``far`` is ms one way."""

    upstream: str
    slots: int
    latency: float
    is_local: bool


class Chosen(NamedTuple):
    """The upstream and what is expected of it.

    ``late`` tells that the first event will miss its objective: the request
    then takes only a place that none which can be in time waits for.
    """

    upstream: str
    forecast: enginepace.Forecast
    late: bool = False


class Full(NamedTuple):
    """No upstream takes it in time; there may be room in ``back_in`` ms."""

    retry_in: clock.Ms
    candidates: int


class Job(NamedTuple):
    """What is known of a request's size.

    ``objective`` is the ms within which its first event is in time,
    ``patience`` the most at which it is still worth starting.
    """

    prompt: int
    answer: int
    objective: float
    patience: float


class LoadTable:
    """The loads of all upstreams, by id.

    :ivar load_by_upstream: made at the first use.
    """

    def __init__(self) -> None:
        self.load_by_upstream: dict[str, upstreamload.UpstreamLoad] = {}

    def of(self, upstream: str) -> upstreamload.UpstreamLoad:
        """Return the load of an upstream.

        :param upstream: its id.
        """
        held = self.load_by_upstream.get(upstream)
        if held is None:
            held = upstreamload.UpstreamLoad()
            self.load_by_upstream[upstream] = held
        return held

    def forget(self, upstreams: set[str]) -> None:
        """Drop upstreams that are gone and have no request of ours.

        :param upstreams: the ids that are still there.
        """
        for upstream, held in list(self.load_by_upstream.items()):
            if upstream not in upstreams and not held.own:
                del self.load_by_upstream[upstream]


class UpstreamChoice:
    """Takes the upstream with the earliest expected first event.

    Made for more load than the replicas bear.  Who can be in time goes
    first; who can't takes places that are left, since a late answer is worth
    a part of one in time, and each that went ahead would make another late.
    Who could not even begin within its patience is refused at once.

    :param book: the loads.
    :param chance: breaks ties.
    """

    def __init__(self, book: LoadTable, chance: random.Random) -> None:
        self._book = book
        self._chance = chance

    def choose(
        self,
        job: Job,
        candidates: Iterable[Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> Chosen | Full:
        """Choose for a request of an engine.

        :param job: the request's size and patience.
        :param candidates: the open replicas of its model.
        :param pace: predicts for the model.
        :param now: monotonic ms.
        """
        best: tuple[tuple[bool, float], Chosen] | None = None
        earliest = 0.0
        count = 0
        for candidate in candidates:
            held = self._book.of(candidate.upstream)
            held.circuit.tick(now)
            if held.avoid_until > now or _is_shut(held):
                continue
            count += 1
            seen = pace.forecast(
                held.total_on_time(now), job.prompt, job.answer
            )
            first = seen.first + 2 * candidate.latency
            late = first > job.objective
            if late:
                # Behind all that is there, those who are late too.
                seen = pace.forecast(held.total(now), job.prompt, job.answer)
                first = seen.first + 2 * candidate.latency
            earliest = min(earliest, first) if earliest else first
            if first > job.patience:
                continue
            rank = first + self._chance.uniform(0, _JITTER)
            rank += 0 if candidate.is_local else _FAR
            if best is None or (late, rank) < best[0]:
                best = (late, rank), Chosen(candidate.upstream, seen, late)
        if best is not None:
            return best[1]
        over = max(0.0, earliest - job.patience)
        return Full(round(over), count)

    def least_loaded(
        self, candidates: Iterable[Candidate], now: clock.Ms
    ) -> str | None:
        """Choose for a request of a plain service, by free places.

        :param candidates: the service's upstreams.
        :param now: monotonic ms.
        """
        best: tuple[float, str] | None = None
        for candidate in candidates:
            held = self._book.of(candidate.upstream)
            held.circuit.tick(now)
            if held.avoid_until > now or _is_shut(held):
                continue
            rank = (held.total(now) + 1) / max(1, candidate.slots)
            rank += self._chance.uniform(0, 0.05)
            # A free place here is better than a freer one far away, but
            # not than waiting for one.
            rank += 0.0 if candidate.is_local else 0.25
            if best is None or rank < best[0]:
                best = rank, candidate.upstream
        return best[1] if best else None


def _is_shut(held: upstreamload.UpstreamLoad) -> bool:
    if held.circuit.state is circuit.State.OPEN:
        return True
    # One probe at a time goes to an upstream that failed.
    return held.circuit.state is circuit.State.HALF_OPEN and held.own > 0
