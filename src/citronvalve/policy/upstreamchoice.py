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
_REMOTE_PENALTY = 40.0


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
        upstream_load = self.load_by_upstream.get(upstream)
        if upstream_load is None:
            upstream_load = upstreamload.UpstreamLoad()
            self.load_by_upstream[upstream] = upstream_load
        return upstream_load

    def retain(self, upstreams: set[str]) -> None:
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

    def __init__(self, loads: LoadTable, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng

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
            load = self._loads.of(candidate.upstream)
            load.circuit.tick(now)
            if load.avoid_until > now or _is_unavailable(load):
                continue
            count += 1
            forecast = pace.forecast(
                load.total_on_time(now), job.prompt, job.answer
            )
            first = forecast.first + 2 * candidate.latency
            late = first > job.objective
            if late:
                # Behind all that is there, those who are late too.
                forecast = pace.forecast(
                    load.total(now), job.prompt, job.answer
                )
                first = forecast.first + 2 * candidate.latency
            earliest = min(earliest, first) if earliest else first
            if first > job.patience:
                continue
            rank = first + self._rng.uniform(0, _JITTER)
            rank += 0 if candidate.is_local else _REMOTE_PENALTY
            if best is None or (late, rank) < best[0]:
                best = (late, rank), Chosen(candidate.upstream, forecast, late)
        if best is not None:
            return best[1]
        excess = max(0.0, earliest - job.patience)
        return Full(round(excess), count)

    def least_loaded(
        self, candidates: Iterable[Candidate], now: clock.Ms
    ) -> str | None:
        """Choose for a request of a plain service, by free places.

        :param candidates: the service's upstreams.
        :param now: monotonic ms.
        """
        best: tuple[float, str] | None = None
        for candidate in candidates:
            load = self._loads.of(candidate.upstream)
            load.circuit.tick(now)
            if load.avoid_until > now or _is_unavailable(load):
                continue
            rank = (load.total(now) + 1) / max(1, candidate.slots)
            rank += self._rng.uniform(0, 0.05)
            # A free place here is better than a freer one far away, but
            # not than waiting for one.
            rank += 0.0 if candidate.is_local else 0.25
            if best is None or rank < best[0]:
                best = rank, candidate.upstream
        return best[1] if best else None


def _is_unavailable(load: upstreamload.UpstreamLoad) -> bool:
    if load.circuit.state is circuit.State.OPEN:
        return True
    # One probe at a time goes to an upstream that failed.
    return load.circuit.state is circuit.State.HALF_OPEN and load.own > 0
