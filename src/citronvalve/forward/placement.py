"""Chooses the upstream of a request, or the refusal of the request."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from citronvalve.forward import attemptresult
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import needs as needs_
from citronvalve.forward import poolrooms
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import coldrate
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec
from citronvalve.routes import service as services

#: Part of the objective within which the first event must be expected:
#: actual times vary around the forecast, which excludes the way back.
_OBJECTIVE_SHARE = 0.8

#: Longest forecast time in ms to a first event past the objective.  Callers
#: disconnect after two seconds, and forecasts of long queues are rough.
_MAX_LATE_WAIT = 900.0

#: The same for a request with less time than its route's timeout: its caller
#: was refused before or is in a hurry, and does not retry again.
_MAX_LATE_WAIT_RETRIED = 1_500.0

#: A replica whose first event is forecast past this part of the objective is
#: nearly full, and the loads of other daemons matter for this long.
_PRESSURE_SHARE = 0.5
_PRESSURE_TIME: clock.Ms = 1_000

#: The engine's last rank, for requests that will miss their objective.
LATE_RANK = 9

#: Shortest ``Retry-After``: sooner the load is unchanged.
_MIN_RETRY_AFTER: clock.Ms = 250

#: Typical time in which a replica that lost a member is repaired.
_REPAIR_TIME: clock.Ms = 1_500

#: ``Retry-After`` is at most the caller's remaining time divided by this.
_RETRY_AFTER_DIVISOR = 3

#: Plain services have no forecast.
_NO_FORECAST = enginepace.Forecast(0.0, 0.0, 0.0)

#: The service has no upstream that could be full.
_NO_UPSTREAM = upstreamchoice.Full(0, 0)


class ColdLimits(NamedTuple):
    """How far the declared rate of a cold upstream may be exceeded.

    ``over`` is a factor on the rate; ``slack`` is added to it, in requests
    per second.
    """

    over: float = 1.0
    slack: float = 0.0


class Placement:
    """Chooses upstreams by their state and load.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :param loads: the upstreams' loads.
    :param cold_limits: the limits for cold upstreams.
    :param needs: what upstreams in need ask for.
    :param rooms: shares replica pools among teams; None to share none.
    :ivar cold_limits: the same; replaced when the settings change.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        loads: upstreamchoice.LoadTable,
        cold_limits: ColdLimits,
        needs: needs_.Needs,
        rooms: poolrooms.PoolRooms | None = None,
    ) -> None:
        self._env = env
        self._directory = directory
        self.cold_limits = cold_limits
        self._needs = needs
        self._rooms = rooms
        self._pressed_at: clock.Ms | None = None
        self._pace_by_model: dict[
            tuple[str, str],
            tuple[enginespec.EngineSpec, enginepace.EnginePace],
        ] = {}
        self._choice = upstreamchoice.UpstreamChoice(loads, env.rng)
        self._cold_rate = coldrate.ColdRate(env.rng)

    def place(
        self, routed: routedrequest.RoutedRequest, tried: list[str]
    ) -> upstreamchoice.Chosen | refusal.Refusal:
        """Choose an untried upstream, or return a refusal.

        :param routed: the request.
        :param tried: ids of the upstreams of earlier attempts.
        """
        too_large = _too_large_reason(routed)
        if too_large:
            return self._refuse(routed, too_large, _REPAIR_TIME)
        now = self._env.clock.now()
        found = self._choose(routed, tried, now)
        is_pressed = self._update_pressure(found, routed, now)
        refused = self._check_room(routed, tried, found, is_pressed)
        if refused is not None:
            return refused
        if isinstance(found, upstreamchoice.Chosen):
            self._record_sent(found.upstream, routed, now)
            return found
        if found.candidates:
            return self._refuse(
                routed,
                f"all {found.candidates} replicas are full",
                max(_MIN_RETRY_AFTER, found.retry_in),
            )
        candidates = self._candidates(routed)
        in_need = self._needs.in_need(candidates)
        why = self._passed_over(routed, tried, now)
        if in_need:
            others = why if len(in_need) < len(candidates) else ""
            return self._needs.refuse(routed, in_need, others)
        return self._refuse(
            routed, why or _no_upstream_reason(routed), _REPAIR_TIME
        )

    def record_start(self, routed: routedrequest.RoutedRequest) -> None:
        """Count a request that is sent to its first upstream.

        :param routed: the request.
        """
        if self._rooms is not None and routed.service.engine is not None:
            self._rooms.begin(routed)

    def record_end(self, routed: routedrequest.RoutedRequest) -> None:
        """Count the end of a request whose start was counted.

        :param routed: the request.
        """
        if self._rooms is not None and routed.service.engine is not None:
            self._rooms.end(routed)

    def can_place(
        self, routed: routedrequest.RoutedRequest, tried: list[str]
    ) -> bool:
        """Return whether an untried upstream has room for the request.

        :param routed: the request.
        :param tried: ids of the upstreams of earlier attempts.
        """
        found = self._choose(routed, tried, self._env.clock.now())
        return isinstance(found, upstreamchoice.Chosen)

    def set_report_age(self, report_age: Callable[[], clock.Ms]) -> None:
        """Set how old the loads become that other daemons report.

        :param report_age: returns the ms.
        """
        self._choice.report_age = report_age
        if self._rooms is not None:
            self._rooms.report_age = report_age

    def set_choice(self, choice: upstreamchoice.UpstreamChoice) -> None:
        """Set how upstreams are chosen.

        :param choice: by the loads that the placement was made with.
        """
        choice.report_age = self._choice.report_age
        self._choice = choice

    def is_pressed(self) -> bool:
        """Return whether a recent request found its replicas nearly full."""
        if self._pressed_at is None:
            return False
        return self._env.clock.now() - self._pressed_at < _PRESSURE_TIME

    def not_run_refusal(
        self,
        routed: routedrequest.RoutedRequest,
        result: attemptresult.AttemptResult,
    ) -> refusal.Refusal:
        """Return the refusal of a request that no upstream ran.

        :param routed: the request.
        :param result: the result of the last attempt.
        """
        candidates = self._candidates(routed)
        in_need = self._needs.in_need(candidates)
        if in_need and len(in_need) == len(candidates):
            # Whoever comes back sooner is turned away again.
            return self._needs.refuse(routed, in_need)
        return self._refuse(routed, f"not run: {result.why}", _MIN_RETRY_AFTER)

    def _choose(
        self,
        routed: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> upstreamchoice.Chosen | upstreamchoice.Full:
        engine = routed.service.engine
        if engine is None:
            candidates = self._candidates(routed)
            eligible = self._eligible(candidates, routed, tried, now)
            chosen = self._choice.least_loaded(eligible, now)
            if chosen is None:
                return _NO_UPSTREAM
            return upstreamchoice.Chosen(chosen, _NO_FORECAST)
        model = engine.model_by_name.get(routed.model)
        if model is None:
            return _NO_UPSTREAM
        candidates = self._candidates(routed)
        eligible = self._eligible(candidates, routed, tried, now)
        pace = self._pace(routed.service, model)
        return self._choice.choose(
            self._job(routed, tried, now), eligible, pace, now
        )

    def _candidates(
        self, routed: routedrequest.RoutedRequest
    ) -> Collection[upstreamchoice.Candidate]:
        """Return the upstreams in service that could run the request."""
        service = routed.service
        if service.engine is None:
            return self._directory.plain_upstreams(service.name)
        return self._directory.open_heads(service.name, routed.model)

    def _passed_over(
        self,
        routed: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> str:
        """Return why none of the upstreams in service is used, or nothing."""
        candidates = self._candidates(routed)
        if not candidates:
            return ""
        counts = collections.Counter(
            "tried"
            if candidate.upstream in tried
            else self._choice.why_unavailable(candidate.upstream, now)
            or "cold, busy or in need"
            for candidate in candidates
        )
        reasons = ", ".join(f"{n} {why}" for why, n in counts.most_common())
        return f"none of {len(candidates)} open upstreams is used: {reasons}"

    def _pace(
        self, service: services.Service, model: modelspec.ModelSpec
    ) -> enginepace.EnginePace:
        key = service.name, model.name
        known = self._pace_by_model.get(key)
        if known is None or known[0] is not service.engine:
            pace = enginepace.EnginePace(service.engine, model.time_factor)
            known = self._pace_by_model[key] = service.engine, pace
        return known[1]

    def _update_pressure(
        self,
        chosen: upstreamchoice.Chosen | upstreamchoice.Full,
        routed: routedrequest.RoutedRequest,
        now: clock.Ms,
    ) -> bool:
        """Return whether the request found its replicas nearly full."""
        if chosen is _NO_UPSTREAM:
            return False
        room = _PRESSURE_SHARE * routed.route.latency_objective
        full = isinstance(chosen, upstreamchoice.Full)
        if full or chosen.late or chosen.forecast.first > room:
            self._pressed_at = now
            return True
        return False

    def _check_room(
        self,
        routed: routedrequest.RoutedRequest,
        tried: list[str],
        found: upstreamchoice.Chosen | upstreamchoice.Full,
        is_pressed: bool,
    ) -> refusal.Refusal | None:
        """Return why the request may not start, None if it may."""
        engine = routed.service.engine
        if self._rooms is None or engine is None or tried:
            return None
        model = engine.model_by_name.get(routed.model)
        if model is None or _is_unusable(found):
            return None
        sizing = poolrooms.Sizing(
            self._needs.without_need(self._candidates(routed)),
            self._pace(routed.service, model),
            _OBJECTIVE_SHARE * routed.route.latency_objective,
            poolrooms.has_returned(routed),
        )
        return self._rooms.check(routed, found, sizing, is_pressed)

    def _job(
        self,
        routed: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> upstreamchoice.Job:
        remaining = float(routed.deadline - now)
        # A retry is not queued behind on-time requests again.
        objective = remaining if tried else routed.route.latency_objective
        if self._rooms and not tried and poolrooms.has_returned(routed):
            # Its first event was due before it came back.
            objective -= routed.route.timeout - remaining
        return upstreamchoice.Job(
            routed.prompt_tokens,
            routed.response_tokens,
            _OBJECTIVE_SHARE * objective - (now - routed.request.arrived_at),
            remaining if tried else min(remaining, self._max_wait(routed)),
        )

    def _max_wait(self, routed: routedrequest.RoutedRequest) -> float:
        if poolrooms.has_returned(routed):
            return _MAX_LATE_WAIT_RETRIED
        return _MAX_LATE_WAIT

    def _eligible(
        self,
        candidates: Collection[upstreamchoice.Candidate],
        routed: routedrequest.RoutedRequest,
        tried: list[str],
        now: clock.Ms,
    ) -> list[upstreamchoice.Candidate]:
        rate = self._cold_limit(routed)
        held = self._needs.held(candidates)
        return [
            candidate
            for candidate in candidates
            if candidate.upstream not in tried
            and candidate.upstream not in held
            and (
                not rate
                or candidate.cold_until <= now
                or self._cold_rate.allows(
                    candidate.upstream, rate, self._env.daemon_count, now
                )
            )
        ]

    def _cold_limit(self, routed: routedrequest.RoutedRequest) -> float:
        declared = routed.service.cold_rate
        if not declared:
            return 0.0
        return declared * self.cold_limits.over + self.cold_limits.slack

    def _record_sent(
        self, upstream: str, routed: routedrequest.RoutedRequest, now: clock.Ms
    ) -> None:
        self._needs.record_sent(upstream)
        if self._cold_limit(routed):
            # Recorded while warm, too: an upstream can become cold without
            # notice, and the requests of the last second count then.
            self._cold_rate.record_sent(upstream, now)

    def _refuse(
        self, routed: routedrequest.RoutedRequest, why: str, retry_in: clock.Ms
    ) -> refusal.Refusal:
        remaining = max(0, routed.deadline - self._env.clock.now())
        # Jitter keeps refused callers from retrying all at once.
        jittered = retry_in * self._env.rng.uniform(1.0, 1.5)
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM,
            why,
            "send the request again after the time given",
            retry_after=max(
                1, min(round(jittered), remaining // _RETRY_AFTER_DIVISOR)
            ),
        )


def _is_unusable(
    found: upstreamchoice.Chosen | upstreamchoice.Full,
) -> bool:
    """Return whether no upstream may be used, full or not."""
    return isinstance(found, upstreamchoice.Full) and not found.candidates


def _too_large_reason(routed: routedrequest.RoutedRequest) -> str:
    """Return why no replica can hold a request, or nothing."""
    engine = routed.service.engine
    size = routed.prompt_tokens + routed.response_tokens
    if engine is None or not 0 < engine.kv_cache_tokens < size:
        # Without a declared memory there is no limit.
        return ""
    return (
        f"the request has {size} tokens, the memory of a replica "
        f"{engine.kv_cache_tokens}"
    )


def _no_upstream_reason(routed: routedrequest.RoutedRequest) -> str:
    engine = routed.service.engine
    if engine is None:
        return "no upstream of the service"
    if routed.model not in engine.model_by_name:
        return "the service has no such model"
    return "no replica of the model is open"
