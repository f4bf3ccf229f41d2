"""Heeds the request rates that upstreams name in their answers."""

from collections.abc import Callable
from collections.abc import Collection

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import refusalcounts
from citronvalve.forward import responsehead
from citronvalve.forward import unreadable
from citronvalve.model import clock
from citronvalve.model import numbertext
from citronvalve.policy import upstreamlimits

#: Upper bound of Retry-After for a caller without a turn before its deadline.
_MAX_WAIT: clock.Ms = 60_000


class Limiter:
    """Records the limits of upstreams, and tells which may get a request.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :ivar refusals: counts the callers that are refused for limits.
    :ivar limits: the limits in force.
    :ivar members: this daemon's places among those that share the limits.
    :ivar on_change: called with the id of an upstream whose limit this
        daemon found to have begun, changed or ended.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
    ) -> None:
        self._env = env
        self._directory = directory
        self._unreadable = unreadable.UnreadableValues(
            env,
            "limit unreadable",
            "a decimal number of requests per second",
        )
        self._assigned_at_by_service: dict[str, float] = {}
        self.refusals = refusalcounts.RefusalCounts(env, "limit")
        self.limits = upstreamlimits.UpstreamLimits()
        self.members = upstreamlimits.members_of(
            env.name, {env.name: env.datacentre}
        )
        self.on_change: Callable[[str], None] = lambda _: None

    def is_due(self, upstream: str) -> bool:
        """Return whether an upstream's limit permits a request now.

        :param upstream: its id.
        """
        return self.limits.is_due(
            upstream,
            self._datacentre(upstream),
            self.members,
            self._env.clock.now(),
        )

    def record_sent(self, upstream: str) -> None:
        """Record that a request is about to be sent.

        :param upstream: its id.
        """
        self.limits.record_sent(upstream, self._env.clock.now())

    def assign_turn(
        self, service: str, upstreams: Collection[str], left: clock.Ms
    ) -> clock.Ms:
        """Return the ms after which a refused caller may be served.

        Each caller is told of another turn, as far as the turns come before
        its deadline.

        :param service: the service's name.
        :param upstreams: ids of its limited upstreams.
        :param left: ms until the caller's deadline.
        """
        places = [(one, self._datacentre(one)) for one in upstreams]
        now = self._env.clock.now()
        following = self.limits.next_turn(places, self.members, now)
        assigned_at = self._assigned_at_by_service.get(service, 0.0)
        at = max(now + following.wait, assigned_at + following.interval)
        if at - now > left:
            return max(left, round(min(following.wait, _MAX_WAIT)))
        self._assigned_at_by_service[service] = at
        return round(at - now)

    def record_answer(
        self,
        upstream: str,
        response: responsehead.ResponseHead,
        sent_at: clock.Ms,
    ) -> None:
        """Record what an answer says of its upstream's limit.

        :param upstream: the upstream's id.
        :param response: the answer's head.
        :param sent_at: monotonic ms at which its request was sent.
        """
        names = self._env.header_names
        if response.status == 421:
            # It comes from whatever has the upstream's address now.
            return
        text = headers.find(response.headers, names.limit)
        if text is not None:
            self._record_named(upstream, text)
        elif response.is_success() and response.is_authentic(names):
            self._record_unnamed(upstream, sent_at)

    def record_restart(self, upstream: str) -> None:
        """Record that an upstream has started again and names no limit yet.

        :param upstream: its id.
        """
        at = self._env.clock.now() + 1
        if self.record_end(upstream, at, "it has restarted"):
            self.on_change(upstream)

    def retain(self, upstreams: set[str]) -> None:
        """Drop the limits of all other upstreams.

        :param upstreams: the ids to keep.
        """
        self.limits.retain(upstreams, self._env.clock.now())
        self._unreadable.retain(upstreams)
        self.refusals.retain(upstreams)

    def set_gauges(self) -> None:
        """Set the gauges of the limits in force."""
        now = self._env.clock.now()
        limits = self.limits.limit_by_upstream.values()
        oldest = max((now - limit.began_at for limit in limits), default=0)
        set_gauge = self._env.metrics.set_gauge
        set_gauge("limited_upstreams", "Have named a rate.", len(limits))
        set_gauge(
            "limit_oldest_seconds",
            "Since the oldest limit in force was named.",
            oldest / clock.SECOND,
        )

    def record_limit(
        self, upstream: str, limit: upstreamlimits.Limit, found: str
    ) -> bool:
        """Record a limit; return whether another rate is now in force.

        :param upstream: the upstream's id.
        :param limit: the limit.
        :param found: ``here`` or ``elsewhere``, for the log.
        """
        has_changed = self.limits.record(upstream, limit)
        if has_changed:
            self._env.log.change(
                "upstream limited",
                upstream=upstream,
                per_second=limit.rate,
                age_ms=self._env.clock.now() - limit.began_at,
                found=found,
            )
        return has_changed

    def record_end(self, upstream: str, at: clock.Ms, why: str) -> bool:
        """Record that a limit is over; return whether it was in force.

        :param upstream: the upstream's id.
        :param at: monotonic ms at which the upstream had no limit.
        :param why: how that was seen, for the log.
        """
        limit = self.limits.record_end(upstream, at)
        if limit is not None:
            self._env.log.change(
                "upstream limit over",
                upstream=upstream,
                per_second=limit.rate,
                lasted_ms=self._env.clock.now() - limit.began_at,
                refused_here=self.refusals.take(upstream),
                why=why,
            )
        return limit is not None

    def _record_named(self, upstream: str, text: bytes) -> None:
        rate = numbertext.parse_decimal(text.decode("latin-1"))
        if rate is None:
            self._unreadable.note(upstream, text)
            return
        now = self._env.clock.now()
        limit = upstreamlimits.Limit(rate, now, now)
        if self.record_limit(upstream, limit, "here"):
            self.on_change(upstream)

    def _record_unnamed(self, upstream: str, sent_at: clock.Ms) -> None:
        limit = self.limits.limit_by_upstream.get(upstream)
        # An answer that was held up may be older than the limit.
        if limit is not None and sent_at > limit.heard_at:
            self.record_end(upstream, sent_at, "an answer names none")
            self.on_change(upstream)

    def _datacentre(self, upstream: str) -> str:
        runner = self._directory.runner_by_id.get(upstream)
        return "" if runner is None else runner.datacentre
