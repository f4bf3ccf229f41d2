"""Choice of the upstream for a request by its predicted latency."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import circuit
from citronvalve.policy import enginepace
from citronvalve.policy import remoteloads
from citronvalve.policy import upstreamload

#: Random spread of the ranks as a part of the age of the loads.  Daemons that
#: choose by the same reports would all choose the upstreams that were free
#: then, and the older the reports the more requests come before the next.
_SPREAD_PART = 0.35

#: Least random spread in ms.
_MIN_SPREAD = 8.0

#: Penalty in ms for an upstream of another data centre: traffic between data
#: centres costs money, and a network partition cuts the upstream off.
REMOTE_PENALTY = 40.0


class Candidate(NamedTuple):
    """A possible upstream; ``latency`` is the one-way time in ms.

    It is cold until ``cold_until``, in monotonic ms, and belongs to
    ``datacentre``.
    """

    upstream: str
    slots: int
    latency: float
    is_local: bool
    cold_until: clock.Ms = 0
    datacentre: str = ""


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
    :ivar remote_loads: the requests of other daemons.
    """

    def __init__(self) -> None:
        self.remote_loads = remoteloads.RemoteLoads()
        self.load_by_upstream: dict[str, upstreamload.UpstreamLoad] = {}

    def of(self, upstream: str) -> upstreamload.UpstreamLoad:
        """Return the load of an upstream.

        :param upstream: its id.
        """
        upstream_load = self.load_by_upstream.get(upstream)
        if upstream_load is None:
            upstream_load = upstreamload.UpstreamLoad(
                upstream, self.remote_loads
            )
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
    :ivar report_age: returns the age in ms that other daemons' reports have
        before the next ones.
    """

    def __init__(self, loads: LoadTable, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng
        self.report_age: Callable[[], clock.Ms] = lambda: 0

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
        spread = max(_MIN_SPREAD, _SPREAD_PART * self.report_age())
        scan = _Scan(job, pace, self._loads, self._rng, spread, now)
        remote = []
        for candidate in candidates:
            if candidate.is_local:
                scan.consider(candidate)
            else:
                remote.append(candidate)
        if remote and not scan.beats_any_remote(remote[0].latency):
            for candidate in remote:
                scan.consider(candidate)
        return scan.result()

    def why_unavailable(self, upstream: str, now: clock.Ms) -> str:
        """Return why an upstream gets no new requests, or nothing.

        :param upstream: its id.
        :param now: monotonic ms.
        """
        load = self._loads.of(upstream)
        if is_available(load, now):
            return ""
        return "avoided" if load.avoid_until > now else "after failures"

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
            if not is_available(load, now):
                continue
            rank = (load.total(now) + 1) / max(1, candidate.slots)
            rank += self._rng.uniform(0, 0.05)
            # A local upstream is preferred to a remote one with somewhat
            # less load, but not when it is full.
            rank += 0.0 if candidate.is_local else 0.25
            if best is None or rank < best[0]:
                best = rank, candidate.upstream
        return best[1] if best else None


class _Scan:
    """The best of the candidates considered so far."""

    def __init__(
        self,
        job: Job,
        pace: enginepace.EnginePace,
        loads: LoadTable,
        rng: random.Random,
        spread: float,
        now: clock.Ms,
    ) -> None:
        self._job = job
        self._pace = pace
        self._loads = loads
        self._rng = rng
        self._spread = spread
        self._now = now
        self._best: Chosen | None = None
        self._best_rank = True, math.inf
        self._earliest = math.inf
        self._count = 0
        self._expected_by_load: dict[
            tuple[float, float, float],
            tuple[enginepace.Forecast, float, bool],
        ] = {}

    def consider(self, candidate: Candidate) -> None:
        """Rank a candidate, if it is available."""
        load = self._loads.of(candidate.upstream)
        if not is_available(load, self._now):
            return
        self._count += 1
        key = *load.totals(self._now), candidate.latency
        expected = self._expected_by_load.get(key)
        if expected is None:
            expected = self._expected_by_load[key] = self._expect(*key)
        forecast, first, late = expected
        if first > self._job.patience:
            return
        penalty = 0.0 if candidate.is_local else REMOTE_PENALTY
        rank = late, first + penalty + self._rng.random() * self._spread
        if rank < self._best_rank:
            self._best_rank = rank
            self._best = Chosen(candidate.upstream, forecast, late)

    def _expect(
        self, total: float, on_time: float, latency: float
    ) -> tuple[enginepace.Forecast, float, bool]:
        """Return the forecast, the time to the first event, if it is late."""
        job = self._job
        forecast = self._pace.forecast(on_time, job.prompt, job.answer)
        first = forecast.first + 2 * latency
        late = first > job.objective
        if late:
            # A late request waits behind all others, including the late
            # ones.
            forecast = self._pace.forecast(total, job.prompt, job.answer)
            first = forecast.first + 2 * latency
        self._earliest = min(self._earliest, first)
        return forecast, first, late

    def beats_any_remote(self, latency: float) -> bool:
        """Return whether no idle remote upstream would rank higher.

        :param latency: one-way time in ms to remote upstreams.
        """
        late, rank = self._best_rank
        idle = self._pace.forecast(0.0, self._job.prompt, self._job.answer)
        return not late and rank <= idle.first + 2 * latency + REMOTE_PENALTY

    def result(self) -> Chosen | Full:
        """Return the choice, or when a slot may be free."""
        if self._best is not None:
            return self._best
        if not self._count:
            return Full(0, 0)
        excess = max(0.0, self._earliest - self._job.patience)
        return Full(round(excess), self._count)


def is_available(load: upstreamload.UpstreamLoad, now: clock.Ms) -> bool:
    """Return whether an upstream may get a new request.

    :param load: its load.
    :param now: monotonic ms.
    """
    if load.avoid_until > now:
        return False
    if load.circuit.state is circuit.State.CLOSED:
        return True
    load.circuit.tick(now)
    # A half-open circuit admits one probe at a time.
    return load.circuit.state is circuit.State.HALF_OPEN and not load.own
