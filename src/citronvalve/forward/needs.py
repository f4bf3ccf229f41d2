"""Which upstreams in need may get a request, and refusals for the others."""

from collections.abc import Collection
from collections.abc import Iterable
import math

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import leaving as leaving_
from citronvalve.forward import limiter as limiters
from citronvalve.forward import responsehead
from citronvalve.forward import rests as rests_
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import pooluse
from citronvalve.policy import upstreamchoice

#: Shortest ``Retry-After``.
_MIN_RETRY_AFTER: clock.Ms = 250

#: Callers who wait for the end of a rest come back over this part of it.
_SPREAD = 0.1

#: Typical time in which an upstream that is no longer used is replaced.
_REPAIR_TIME: clock.Ms = 1_500

#: Callers wait for at most their remaining time divided by this.
_PATIENCE = 3

#: Upstreams in need that a line of the log names.
_MAX_SHOWN = 5


class Needs:
    """What upstreams in need ask for, and what that means for requests.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :ivar limiter: the rates that upstreams have named.
    :ivar rests: how long upstreams want no request.
    :ivar leaving: the upstreams that have said that they leave.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
    ) -> None:
        self._env = env
        self.limiter = limiters.Limiter(env, directory)
        self.rests = rests_.Rests(env)
        self.leaving = leaving_.Leaving(env, directory)

    def record_answer(
        self,
        upstream: str,
        response: responsehead.ResponseHead,
        sent_at: clock.Ms,
        relay: str,
    ) -> None:
        """Record what an answer says of its upstream's needs.

        :param upstream: the upstream's id.
        :param response: the answer's head.
        :param sent_at: monotonic ms at which its request was sent.
        :param relay: the daemon that relayed it, empty if it is direct.
        """
        self.limiter.record_answer(upstream, response, sent_at)
        self.rests.record_answer(upstream, response, relay)
        self.leaving.record_answer(upstream, response)

    def record_restart(self, upstream: str) -> None:
        """Record that an upstream has started again and asked for nothing.

        :param upstream: its id.
        """
        self.limiter.record_restart(upstream)
        self.rests.record_restart(upstream)

    def update(self, upstreams: set[str]) -> None:
        """Forget all other upstreams, and set the gauges.

        :param upstreams: ids of the listed upstreams.
        """
        for kept in (self.limiter, self.rests, self.leaving):
            kept.retain(upstreams)
            kept.set_gauges()

    def held(
        self, candidates: Iterable[upstreamchoice.Candidate]
    ) -> frozenset[str]:
        """Return the upstreams that may not get a request now.

        :param candidates: upstreams in service.
        """
        resting = self.rests.resting()
        return frozenset(
            upstream
            for upstream in self.in_need(candidates)
            if upstream in resting or not self.limiter.is_due(upstream)
        )

    def without_need(
        self, candidates: Collection[upstreamchoice.Candidate]
    ) -> Collection[upstreamchoice.Candidate]:
        """Return the upstreams without a need, all if none is without.

        :param candidates: upstreams in service.
        """
        in_need = set(self.in_need(candidates))
        if not in_need:
            return candidates
        others = [c for c in candidates if c.upstream not in in_need]
        return others or candidates

    def in_need(
        self, candidates: Iterable[upstreamchoice.Candidate]
    ) -> list[str]:
        """Return the ids of the upstreams in need.

        :param candidates: upstreams in service.
        """
        limits = self.limiter.limits.limit_by_upstream
        resting = self.rests.resting()
        if not limits and not resting:
            return []
        return [
            candidate.upstream
            for candidate in candidates
            if candidate.upstream in limits or candidate.upstream in resting
        ]

    def record_sent(self, upstream: str) -> None:
        """Record that a request is about to be sent.

        :param upstream: the upstream's id.
        """
        self.limiter.record_sent(upstream)

    def refuse(
        self,
        routed: routedrequest.RoutedRequest,
        in_need: Collection[str],
        others: str = "",
    ) -> refusal.Refusal:
        """Return the refusal of a request that upstreams in need can't take.

        :param routed: the request.
        :param in_need: ids of the upstreams in need.
        :param others: why those without a need are not used, empty if there
            are none.
        """
        holder = routed.key_holder
        team = pooluse.NO_TEAM if holder is None else holder.name
        resting = [one for one in in_need if self.rests.is_resting(one)]
        limited = [one for one in in_need if one not in resting]
        self.limiter.refusals.record(limited, team)
        self.rests.refusals.record(resting, team)
        left = max(0, routed.deadline - self._env.clock.now())
        wait = min(
            self._rest_wait(resting),
            self._limit_wait(routed, limited, left),
            self._repair_wait(left) if others else math.inf,
        )
        why = (
            f"{len(limited)} upstreams are limited to the rate that they "
            f"named, and {len(resting)} want no request"
        )
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM,
            f"{why}; {others}" if others else why,
            "send the request again after the time given",
            retry_after=max(_MIN_RETRY_AFTER, round(wait)),
            facts=(
                ("team", team),
                ("limited", tuple(limited[:_MAX_SHOWN])),
                ("resting", tuple(resting[:_MAX_SHOWN])),
            ),
        )

    def _rest_wait(self, resting: list[str]) -> float:
        wait = self.rests.wait(resting)
        return wait * (1 + _SPREAD * self._env.rng.random())

    def _limit_wait(
        self,
        routed: routedrequest.RoutedRequest,
        limited: list[str],
        left: clock.Ms,
    ) -> float:
        if not limited:
            return math.inf
        return self.limiter.assign_turn(routed.service.name, limited, left)

    def _repair_wait(self, left: clock.Ms) -> float:
        return min(
            _REPAIR_TIME * self._env.rng.uniform(1.0, 1.5), left / _PATIENCE
        )
