"""Choice of the upstream for a request by its predicted latency."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import circuit
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamload

#: Random spread in ms.  Otherwise all daemons that choose at the same time
#: from the same loads would choose the same upstream.
_JITTER = 8.0

#: Penalty in ms for an upstream of another data centre: traffic between data
#: centres costs money, and a network partition cuts the upstream off.
_REMOTE_PENALTY = 40.0


class Candidate(NamedTuple):
    """A possible upstream; ``latency`` is the one-way time in ms."""

    upstream: str
    slots: int
    latency: float
    is_local: bool


class Chosen(NamedTuple):
    """The chosen upstream and its forecast.

    ``late`` means that the first event will miss its objective; the request
    then takes only a slot that no request that can be in time waits for.
    """

    upstream: str
    forecast: enginepace.Forecast
    late: bool = False


class Full(NamedTuple):
    """No upstream is in time; there may be a free slot in ``retry_in`` ms."""

    retry_in: clock.Ms
    candidates: int


class Job(NamedTuple):
    """The size of a request and its time limits.

    ``objective`` is the target for the first event in ms, and ``patience``
    the longest time to the first event at which it is still started.
    """

    prompt: int
    answer: int
    objective: float
    patience: float


class LoadTable:
    """The loads of all upstreams, by id.

    :ivar load_by_upstream: the loads; each is created on first use.
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
        """Drop all other upstreams without requests of this daemon.

        :param upstreams: the ids to keep.
        """
        for upstream, held in list(self.load_by_upstream.items()):
            if upstream not in upstreams and not held.own:
                del self.load_by_upstream[upstream]


class UpstreamChoice:
    """Chooses the upstream with the earliest predicted first event.

    Under overload, requests that can meet their objective go first.  Late
    ones take the slots that are left: a late answer is worth less than one
    in time, and each late request that went first would delay another.  A
    request that can't even start within its patience is rejected at once.

    :param loads: the loads.
    :param rng: random source of the spread.
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
        """Choose an engine for a request.

        :param job: the request's size and time limits.
        :param candidates: the open replicas of its model.
        :param pace: predicts the model's latency.
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
                # A late request waits behind all others, including the
                # late ones.
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
        """Choose an upstream of a plain service by its free slots.

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
            # A local upstream is preferred to a remote one with somewhat
            # less load, but not when it is full.
            rank += 0.0 if candidate.is_local else 0.25
            if best is None or rank < best[0]:
                best = rank, candidate.upstream
        return best[1] if best else None


def _is_unavailable(load: upstreamload.UpstreamLoad) -> bool:
    if load.circuit.state is circuit.State.OPEN:
        return True
    # A half-open circuit admits one probe at a time.
    return load.circuit.state is circuit.State.HALF_OPEN and load.own > 0
