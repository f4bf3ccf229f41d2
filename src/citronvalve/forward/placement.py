"""Finds the upstream of a request, or the words to refuse it with."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.forward import attemptresult
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import coldrate
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice

#: Part of the objective by which the first event must be expected: actual
#: times spread around the forecast, and the way back is not in it.
_IN_TIME = 0.8

#: Longest time to a late first event in ms.  A caller leaves after two
#: seconds without one, and forecasts of a long queue are rough.
_LATE = 900.0

#: The same for a request that came with less time than its route gives: its
#: caller was refused before, or is in a hurry, and does not come a third
#: time.
_LATE_RETURN = 1_500.0

#: Part of the route's timeout below which a request came with less time.
_WITH_LESS = 0.95

#: Above this part of the objective a replica is nearly full, and news of the
#: other daemons' requests matter; they count for this many ms.
_NEARLY_FULL = 0.5
_PRESSED: clock.Ms = 1_000

#: The engine's rank for requests that will be late anyhow; the last one.
LATE_RANK = 9

#: Least time to stay away: sooner nothing has changed.
_SOONEST: clock.Ms = 250

#: A replica that lost a member serves again after about this time.
_REPAIR: clock.Ms = 1_500

#: Callers return within a third of the time that they have left.
_RETURN_SHARE = 3

#: Of a plain service nothing is predicted.
_NO_FORECAST = enginepace.Forecast(0.0, 0.0, 0.0)

#: There is no upstream that could be waited for.
_NOWHERE = upstreamchoice.Full(0, 0)


class ColdLimits(NamedTuple):
    """How far a cold upstream's declared rate may be passed.

    ``over`` is a factor on the rate, ``slack`` requests a second on top.
    """

    over: float = 1.0
    slack: float = 0.0


class Placement:
    """Places requests by what is known of the upstreams.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :param book: their loads.
    :param cold: the bound on cold upstreams.
    :ivar cold: the same; replaced when the settings change.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        book: upstreamchoice.LoadTable,
        cold_limits: ColdLimits,
    ) -> None:
        self._env = env
        self._directory = directory
        self.cold_limits = cold_limits
        self._pressed_at: clock.Ms | None = None
        self._choice = upstreamchoice.UpstreamChoice(book, env.rng)
        self._rates = coldrate.ColdRate(env.rng)

    def place(
        self, demand: routedrequest.RoutedRequest, tried: list[str]
    ) -> upstreamchoice.Chosen | refusal.Refusal:
        """Choose an upstream that has not been tried.

        :param demand: the request.
        :param tried: ids of upstreams.
        """
        now = self._env.clock.now()
        found = self._choose(demand, tried, now)
        if found is not _NOWHERE:
            self._note_pressure(found, demand, now)
        if isinstance(found, upstreamchoice.Chosen):
            self._sent(found.upstream, demand, now)
            return found
        if found.candidates:
            return self._refuse(
                demand,
                f"all {found.candidates} replicas are full",
                max(_SOONEST, found.retry_in),
            )
        return self._refuse(demand, _why_none(demand), _REPAIR)

    def can_place(
        self, demand: routedrequest.RoutedRequest, tried: list[str]
    ) -> bool:
        """Tell whether an upstream that has not been tried takes it now.

        :param demand: the request.
        :param tried: ids of upstreams.
        """
        found = self._choose(demand, tried, self._env.clock.now())
        return isinstance(found, upstreamchoice.Chosen)

    def is_pressed(self) -> bool:
        """Tell whether a request lately met a replica that is nearly full."""
        if self._pressed_at is None:
            return False
        return self._env.clock.now() - self._pressed_at < _PRESSED

    def not_run_refusal(
        self,
        demand: routedrequest.RoutedRequest,
        ended: attemptresult.AttemptResult,
    ) -> refusal.Refusal:
        """Return the refusal of a request that upstreams did not run.

        :param demand: the request.
        :param ended: the last try.
        """
        return self._refuse(demand, f"not run: {ended.why}", _SOONEST)

    def _choose(
        self,
        demand: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> upstreamchoice.Chosen | upstreamchoice.Full:
        service, engine = demand.service, demand.service.engine
        if engine is None:
            there = self._directory.plain_upstreams(service.name)
            found = self._bearing(there, demand, tried, now)
            chosen = self._choice.least_loaded(found, now)
            if chosen is None:
                return _NOWHERE
            return upstreamchoice.Chosen(chosen, _NO_FORECAST)
        model = engine.model_by_name.get(demand.model)
        if model is None:
            return _NOWHERE
        there = self._directory.open_heads(service.name, model.name)
        found = self._bearing(there, demand, tried, now)
        pace = enginepace.EnginePace(engine, model.time_factor)
        return self._choice.choose(
            self._job(demand, tried, now), found, pace, now
        )

    def _note_pressure(
        self,
        chosen: upstreamchoice.Chosen | upstreamchoice.Full,
        demand: routedrequest.RoutedRequest,
        now: clock.Ms,
    ) -> None:
        room = _NEARLY_FULL * demand.route.latency_objective
        full = isinstance(chosen, upstreamchoice.Full)
        if full or chosen.late or chosen.forecast.first > room:
            self._pressed_at = now

    def _job(
        self,
        demand: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> upstreamchoice.Job:
        left = float(demand.deadline - now)
        # What was begun elsewhere is not put behind others once more.
        objective = left if tried else demand.route.latency_objective
        return upstreamchoice.Job(
            demand.prompt_tokens,
            demand.response_tokens,
            _IN_TIME * objective - (now - demand.request.arrived_at),
            left if tried else min(left, self._latest(demand)),
        )

    def _latest(self, demand: routedrequest.RoutedRequest) -> float:
        given = demand.deadline - demand.request.arrived_at
        with_less = given < _WITH_LESS * demand.route.timeout
        return _LATE_RETURN if with_less else _LATE

    def _bearing(
        self,
        candidates: Iterable[upstreamchoice.Candidate],
        demand: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> list[upstreamchoice.Candidate]:
        rate = self._rate(demand)
        return [
            one._replace(
                slots=demand.service.engine.slots
                if demand.service.engine
                else one.slots
            )
            for one in candidates
            if one.upstream not in tried
            and self._bears(one.upstream, rate, now)
        ]

    def _bears(self, upstream: str, rate: float, now: clock.Ms) -> bool:
        if not rate or not self._is_cold(upstream, now):
            return True
        return self._rates.allows(upstream, rate, self._env.daemon_count, now)

    def _is_cold(self, upstream: str, now: clock.Ms) -> bool:
        runner = self._directory.runner_by_id.get(upstream)
        return runner is not None and now < runner.cold_until

    def _rate(self, demand: routedrequest.RoutedRequest) -> float:
        declared = demand.service.cold_rate
        if not declared:
            return 0.0
        return declared * self.cold_limits.over + self.cold_limits.slack

    def _sent(
        self, upstream: str, demand: routedrequest.RoutedRequest, now: clock.Ms
    ) -> None:
        if self._rate(demand):
            # Counted while warm too: an upstream falls back into a cold
            # start without warning, and the last second counts then.
            self._rates.record_sent(upstream, now)

    def _refuse(
        self, demand: routedrequest.RoutedRequest, why: str, back_in: clock.Ms
    ) -> refusal.Refusal:
        left = max(0, demand.deadline - self._env.clock.now())
        # Callers told the same time would come back together.
        spread = back_in * self._env.rng.uniform(1.0, 1.5)
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM,
            why,
            "send it again after the time given",
            retry_after=max(1, min(round(spread), left // _RETURN_SHARE)),
        )


def _why_none(demand: routedrequest.RoutedRequest) -> str:
    engine = demand.service.engine
    if engine is None:
        return "no upstream of the service"
    if demand.model not in engine.model_by_name:
        return "the service has no such model"
    return "no replica of the model is open"
