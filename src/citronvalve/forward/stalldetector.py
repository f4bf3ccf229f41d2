"""Upstreams from which nothing comes any more."""

from collections.abc import Callable

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice

#: Within this time another stream's event shows that an upstream works, and
#: that only one connection has gone silent.
_LIVELY: clock.Ms = 300

#: How long a stalled upstream gets no new work unless it is heard of: about
#: the time in which its group is looked at and closed.
_AVOIDED: clock.Ms = 2_500


class StallDetector:
    """Tells a replica that stands still from one silent connection.

    A replica that lost a member stands still for seconds before it says so,
    and its callers would wait all that time.  All its streams go silent
    together; a connection that was lost track of goes silent alone.

    :param env: the daemon's environment.
    :param book: the loads.
    :ivar on_stall: told the upstream that stands still.
    """

    def __init__(
        self, env: environments.Environment, book: upstreamchoice.LoadTable
    ) -> None:
        self._env = env
        self._book = book
        self._standing: set[str] = set()
        self.on_stall: Callable[[str], None] = lambda _: None
        self._stood_still_at: clock.Ms | None = None

    def record_activity(self, upstream: str) -> None:
        """Note a sign of life.

        :param upstream: its id.
        """
        held = self._book.of(upstream)
        held.last_heard_at = self._env.clock.now()
        if upstream in self._standing:
            # It was only slow.
            self._standing.discard(upstream)
            held.avoid_until = 0

    def is_stalled(self, upstream: str) -> bool:
        """Tell whether an upstream was found standing still lately.

        :param upstream: its id.
        """
        if upstream not in self._standing:
            return False
        if self._book.of(upstream).avoid_until > self._env.clock.now():
            return True
        self._standing.discard(upstream)
        return False

    def record_silence(self, upstream: str) -> bool:
        """Note a silence; tell whether the upstream as a whole is silent.

        :param upstream: its id.
        """
        now = self._env.clock.now()
        held = self._book.of(upstream)
        if now - held.last_heard_at < _LIVELY:
            return False
        if upstream not in self._standing:
            self._mark(upstream, now)
            self.on_stall(upstream)
        return True

    def record_remote_stall(self, upstream: str) -> None:
        """Take another daemon's word that an upstream stands still.

        :param upstream: its id; ignored if it was heard here just now.
        """
        now = self._env.clock.now()
        lively = now - self._book.of(upstream).last_heard_at < _LIVELY
        if not lively and upstream not in self._standing:
            self._mark(upstream, now)

    def _mark(self, upstream: str, now: clock.Ms) -> None:
        held = self._book.of(upstream)
        self._standing.add(upstream)
        held.avoid_until = now + _AVOIDED
        self._env.log.change(
            "upstream stands still",
            upstream=upstream,
            silent_ms=now - held.last_heard_at if held.last_heard_at else None,
            own_requests=held.own,
        )

    def record_pause(self, span: clock.Ms) -> None:
        """Note that this daemon itself did not run for a while.

        :param span: ms until now.
        """
        now, before = self._env.clock.now(), self._stood_still_at
        self._stood_still_at = now
        if before is None or now - before >= span:
            # All that wait at that time tell of the same pause.
            self._env.log.change("daemon stood still", for_ms=span)

    def avoid(self, upstream: str, span: clock.Ms) -> None:
        """Give an upstream no new work for a while.

        :param upstream: its id.
        :param span: ms.
        """
        held = self._book.of(upstream)
        held.avoid_until = max(held.avoid_until, self._env.clock.now() + span)
