"""Heeds the request rates that upstreams name in their answers."""

from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import responsehead
from citronvalve.model import clock
from citronvalve.policy import upstreamlimits

#: Longest part of an unreadable value that is logged.
_MAX_SHOWN = 40


class Limiter:
    """Records the limits of upstreams.

    :param env: the daemon's environment.
    :ivar limits: the limits in force.
    """

    def __init__(self, env: environments.Environment) -> None:
        self._env = env
        self._unreadable: set[str] = set()
        self.limits = upstreamlimits.UpstreamLimits()

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
        self._end(upstream, self._env.clock.now() + 1, "it has restarted")

    def retain(self, upstreams: set[str]) -> None:
        """Drop the limits of all other upstreams.

        :param upstreams: the ids to keep.
        """
        self.limits.retain(upstreams, self._env.clock.now())
        self._unreadable &= upstreams

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

    def _record_named(self, upstream: str, text: bytes) -> None:
        rate = headers.parse_decimal(text)
        if rate is None:
            self._note_unreadable(upstream, text)
            return
        now = self._env.clock.now()
        self._unreadable.discard(upstream)
        self.record_limit(upstream, upstreamlimits.Limit(rate, now, now))

    def record_limit(
        self, upstream: str, limit: upstreamlimits.Limit, found: str = "here"
    ) -> None:
        """Record a limit.

        :param upstream: the upstream's id.
        :param limit: the limit.
        :param found: ``here`` or ``elsewhere``, for the log.
        """
        if self.limits.record(upstream, limit):
            self._env.log.change(
                "upstream limited",
                upstream=upstream,
                per_second=limit.rate,
                age_ms=self._env.clock.now() - limit.began_at,
                found=found,
            )

    def _record_unnamed(self, upstream: str, sent_at: clock.Ms) -> None:
        limit = self.limits.limit_by_upstream.get(upstream)
        # An answer that was held up may be older than the limit.
        if limit is not None and sent_at > limit.heard_at:
            self._end(upstream, sent_at, "an answer names none")

    def _end(self, upstream: str, at: clock.Ms, why: str) -> None:
        limit = self.limits.record_end(upstream, at)
        if limit is not None:
            self._env.log.change(
                "upstream limit over",
                upstream=upstream,
                per_second=limit.rate,
                lasted_ms=self._env.clock.now() - limit.began_at,
                why=why,
            )

    def _note_unreadable(self, upstream: str, text: bytes) -> None:
        if upstream in self._unreadable:
            return
        self._unreadable.add(upstream)
        self._env.log.change(
            "limit unreadable",
            upstream=upstream,
            value=text[:_MAX_SHOWN].decode("latin-1"),
            why="a decimal number of requests per second is expected",
        )
