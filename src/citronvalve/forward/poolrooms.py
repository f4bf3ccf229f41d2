"""Shares replica pools among teams and callers while they are full."""

from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import classbalance
from citronvalve.policy import enginepace
from citronvalve.policy import loaddetails
from citronvalve.policy import poolgate
from citronvalve.policy import pooluse
from citronvalve.policy import poolview
from citronvalve.policy import upstreamchoice

#: Shortest ``Retry-After``: sooner the load is unchanged.
_MIN_RETRY_AFTER: clock.Ms = 250

#: Part of the route's timeout below which a request has less time.
_SHORTENED_SHARE = 0.95

#: The remaining time of a caller that comes back covers its answer and this.
_RETURN_MARGIN: clock.Ms = 800

#: ``Retry-After`` is at most this part of the caller's remaining time, and at
#: least the other one, however long the answer.
_MAX_RETRY_PART = 0.75
_MIN_RETRY_PART = 1 / 3

_Found = upstreamchoice.Chosen | upstreamchoice.Full


class Sizing(NamedTuple):
    """What is known about a request and its pool.

    ``candidates`` are the pool's open replicas.  ``objective`` is the target
    for the first event in ms, and ``has_returned`` says whether the caller
    was refused before.
    """

    candidates: Collection[upstreamchoice.Candidate]
    pace: enginepace.EnginePace
    objective: float
    has_returned: bool


class PoolRooms:
    """The pools of one daemon.

    :param env: the daemon's environment.
    :param directory: the upstreams and the configuration.
    :param loads: the upstreams' loads.
    :ivar report_age: returns the age in ms that other daemons' reports have
        before the next ones.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        loads: upstreamchoice.LoadTable,
    ) -> None:
        self._env = env
        self._directory = directory
        self._use = pooluse.PoolUse()
        self._views = poolview.PoolViews(loads, self._use)
        self._gate = poolgate.PoolGate(env.rng)
        self._configuration = 0
        self.report_age: Callable[[], clock.Ms] = lambda: 0

    def begin(self, routed: routedrequest.RoutedRequest) -> None:
        """Count a request that begins to run.

        :param routed: the request.
        """
        self._use.add(_pool(routed), _team(routed))

    def end(self, routed: routedrequest.RoutedRequest) -> None:
        """Count a request that has ended.

        :param routed: the request.
        """
        self._use.remove(_pool(routed), _team(routed))

    def details(self) -> loaddetails.LoadDetails:
        """Return what load reports tell of the pools that are nearly full."""
        use_by_pool = self._use.report(self._env.clock.now())
        return loaddetails.LoadDetails(use_by_pool)

    def check(
        self,
        routed: routedrequest.RoutedRequest,
        found: _Found,
        sizing: Sizing,
        is_pressed: bool,
    ) -> refusal.Refusal | None:
        """Return the refusal of a request, None if it may start.

        :param routed: a request that was not sent to an upstream before.
        :param found: its upstream.
        :param sizing: about the request and its pool.
        :param is_pressed: whether its replicas are nearly full.
        """
        now = self._env.clock.now()
        ask = _ask(routed, found, sizing)
        self._gate.record_asked(ask, now)
        is_full = isinstance(found, upstreamchoice.Full)
        verdict = self._decide(ask, routed, sizing, is_pressed, now)
        if not is_full and verdict.reason is None:
            self._gate.record_started(ask, now)
            return None
        why = (
            str(verdict.reason)
            if verdict.reason is not None
            else f"all {len(sizing.candidates)} replicas are full"
        )
        return self._refuse(routed, sizing, verdict, why, now)

    def _decide(
        self,
        ask: poolgate.Ask,
        routed: routedrequest.RoutedRequest,
        sizing: Sizing,
        is_pressed: bool,
        now: clock.Ms,
    ) -> poolgate.Verdict:
        self._update_weights()
        duration = _duration(sizing)
        room = poolview.Room(
            duration,
            poolview.margin(self.report_age(), duration),
            self._env.daemon_count,
        )
        view = self._views.view(
            ask.pool,
            sizing.candidates,
            _slots(sizing),
            room,
            self._gate.limited(ask.pool, now),
            now,
        )
        if is_pressed or view.free <= 2 * room.margin * view.slots:
            self._use.record_pressure(ask.pool, now)
        use = self._views.team_use(ask.pool, ask.team, view)
        return self._gate.decide(ask, use, view, room, now)

    def _refuse(
        self,
        routed: routedrequest.RoutedRequest,
        sizing: Sizing,
        verdict: poolgate.Verdict,
        why: str,
        now: clock.Ms,
    ) -> refusal.Refusal:
        cost = _forecast(routed, sizing).whole
        free_rate = _slots(sizing) / cost / max(1, self._env.daemon_count)
        latest = _latest_return(routed.deadline - now, cost)
        wait = self._gate.retry_after(
            _pool(routed), free_rate, _MIN_RETRY_AFTER, latest, now
        )
        team = _team(routed)
        self._env.metrics.record_team_refusal(team)
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM,
            why,
            "send the request again after the time given",
            retry_after=max(1, int(min(wait, latest))),
            facts=(
                ("team", team),
                ("team_use", round(verdict.use.total)),
                ("team_share", _finite(verdict.use.share)),
                ("pool_excess", round(verdict.excess, 2)),
                ("known_age_ms", verdict.age),
            ),
        )

    def _update_weights(self) -> None:
        catalogue = self._directory.catalogue
        if catalogue is None or catalogue.version == self._configuration:
            return
        self._configuration = catalogue.version
        self._views.set_weights(
            {
                holder.name: holder.weight
                for holder in catalogue.holder_by_key.values()
            }
        )


def has_returned(routed: routedrequest.RoutedRequest) -> bool:
    """Return whether the caller was refused before, or is in a hurry.

    :param routed: its request.
    """
    caller_timeout = routed.deadline - routed.request.arrived_at
    return caller_timeout < _SHORTENED_SHARE * routed.route.timeout


def _slots(sizing: Sizing) -> int:
    return sizing.pace.slots * len(sizing.candidates)


def _pool(routed: routedrequest.RoutedRequest) -> str:
    return f"{routed.service.name}/{routed.model}"


def _team(routed: routedrequest.RoutedRequest) -> str:
    holder = routed.key_holder
    return pooluse.NO_TEAM if holder is None else holder.name


def _finite(share: float) -> int | None:
    return None if share == float("inf") else round(share)


def _ask(
    routed: routedrequest.RoutedRequest, found: _Found, sizing: Sizing
) -> poolgate.Ask:
    forecast = _forecast(routed, sizing)
    return poolgate.Ask(
        _pool(routed),
        _team(routed),
        classbalance.Kind(routed.route.name, routed.priority),
        forecast.whole,
        sizing.objective - forecast.first,
        sizing.has_returned,
        isinstance(found, upstreamchoice.Full) or found.late,
    )


def _forecast(
    routed: routedrequest.RoutedRequest, sizing: Sizing
) -> enginepace.Forecast:
    return sizing.pace.forecast(
        sizing.pace.slots - 1, routed.prompt_tokens, routed.response_tokens
    )


def _latest_return(left: float, cost: float) -> float:
    """Return the ms after which a caller may come back and be answered.

    :param left: ms that its request has left.
    :param cost: ms that its answer takes.
    """
    latest = max(_MIN_RETRY_PART * left, left - cost - _RETURN_MARGIN)
    return max(0.0, min(_MAX_RETRY_PART * left, latest))


def _duration(sizing: Sizing) -> float:
    """Return the ms that a typical request takes a slot."""
    return sizing.pace.typical_forecast(sizing.pace.slots - 1).whole
