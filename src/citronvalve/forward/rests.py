"""Heeds how long upstreams that turned a request away want no other one."""

from collections.abc import Callable
from collections.abc import Collection
import math

from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import refusalcounts
from citronvalve.forward import responsehead
from citronvalve.forward import unreadable
from citronvalve.model import clock
from citronvalve.model import numbertext
from citronvalve.policy import upstreamrests

_RETRY_AFTER = b"retry-after"

_NONE: frozenset[str] = frozenset()


class Rests:
    """Records the rests of upstreams, and tells which are over.

    An upstream asks the VM that sent it a request, so that rests are not
    shared among daemons.  One that was asked through another daemon has asked
    that one, too.

    :param env: the daemon's environment.
    :ivar refusals: counts the callers that are refused for rests.
    :ivar rests: the rests.
    :ivar on_relayed: called with a daemon's name, an upstream's id and ms,
        when an upstream has turned away what that daemon relayed.
    """

    def __init__(self, env: environments.Environment) -> None:
        self._env = env
        self._unreadable = unreadable.UnreadableValues(
            env, "rest unreadable", "a decimal number of seconds"
        )
        self.refusals = refusalcounts.RefusalCounts(env, "rest")
        self.rests = upstreamrests.UpstreamRests()
        self.on_relayed: Callable[[str, str, int], None] = lambda *_: None

    def record_answer(
        self,
        upstream: str,
        response: responsehead.ResponseHead,
        relay: str = "",
    ) -> None:
        """Record how long the upstream of an answer wants no request.

        :param upstream: the upstream's id.
        :param response: the answer's head.
        :param relay: the daemon that relayed it, empty if it is direct.
        """
        if response.status != 503:
            return
        text = headers.find(response.headers, _RETRY_AFTER)
        if text is None:
            return
        seconds = numbertext.parse_decimal(text.decode("latin-1"))
        if seconds is None:
            self._unreadable.note(upstream, text)
            return
        self.record_rest(upstream, seconds * clock.SECOND, relay)
        if relay:
            self.on_relayed(relay, upstream, round(seconds * clock.SECOND))

    def record_rest(
        self, upstream: str, duration: float, relay: str = ""
    ) -> None:
        """Record that an upstream wants no request for a time.

        :param upstream: the upstream's id.
        :param duration: ms.
        :param relay: the daemon that was asked, empty if it is this one.
        """
        if not duration:
            return
        if self.rests.record(upstream, duration, self._env.clock.now()):
            self._env.log.change(
                "upstream rests",
                upstream=upstream,
                for_ms=round(duration),
                relay=relay,
            )

    def resting(self) -> frozenset[str]:
        """Return the upstreams that want no request now."""
        if not self.rests.rest_by_upstream:
            return _NONE
        now = self._env.clock.now()
        return frozenset(
            upstream
            for upstream in self.rests.rest_by_upstream
            if self.rests.is_resting(upstream, now)
        )

    def wait(self, upstreams: Collection[str]) -> float:
        """Return the ms until the first of some rests ends.

        :param upstreams: ids of resting upstreams; infinite without any.
        """
        return self.rests.wait(upstreams, self._env.clock.now())

    def rest_left(self, upstream: str) -> clock.Ms:
        """Return the ms for which an upstream wants no request, or 0.

        :param upstream: its id.
        """
        wait = self.wait([upstream])
        return 0 if math.isinf(wait) else math.ceil(wait)

    def is_resting(self, upstream: str) -> bool:
        """Return whether an upstream wants no request.

        :param upstream: its id.
        """
        return self.rests.is_resting(upstream, self._env.clock.now())

    def record_restart(self, upstream: str) -> None:
        """Record that an upstream has started again and asked for nothing.

        :param upstream: its id.
        """
        if self.rests.rest_by_upstream.pop(upstream, None) is not None:
            self._env.log.change(
                "upstream rested",
                upstream=upstream,
                refused_here=self.refusals.take(upstream),
                why="it has restarted",
            )

    def retain(self, upstreams: set[str]) -> None:
        """Drop what is known of all other upstreams.

        :param upstreams: the ids to keep.
        """
        self._unreadable.retain(upstreams)
        self.refusals.retain(upstreams)
        for upstream in self.rests.rest_by_upstream.keys() - upstreams:
            del self.rests.rest_by_upstream[upstream]
        self._end_rests()

    def set_gauges(self) -> None:
        """Set the gauges of the rests under way."""
        now = self._env.clock.now()
        rests = self.rests.rest_by_upstream.values()
        oldest = max((now - rest.began_at for rest in rests), default=0)
        set_gauge = self._env.metrics.set_gauge
        set_gauge("resting_upstreams", "Want no request now.", len(rests))
        set_gauge(
            "rest_oldest_seconds",
            "Since the oldest rest under way was asked for.",
            oldest / clock.SECOND,
        )

    def _end_rests(self) -> None:
        """Log and drop the rests that are over."""
        now = self._env.clock.now()
        for upstream, rest in self.rests.prune(now).items():
            self._env.log.change(
                "upstream rested",
                upstream=upstream,
                lasted_ms=rest.until - rest.began_at,
                refused_here=self.refusals.take(upstream),
            )
