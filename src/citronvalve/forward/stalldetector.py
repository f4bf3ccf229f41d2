"""Upstreams from which nothing comes any more."""

from collections.abc import Callable

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice

#: Within this time another stream's event shows that an upstream works, and
#: that only one connection has gone silent.
_ACTIVITY_WINDOW: clock.Ms = 300

#: How long a stalled upstream gets no new work unless it is heard of: about
#: the time in which its group is looked at and closed.
_STALL_AVOID_TIME: clock.Ms = 2_500


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
        self, env: environments.Environment, loads: upstreamchoice.LoadTable
    ) -> None:
        self._env = env
        self._loads = loads
        self._stalled: set[str] = set()
        self.on_stall: Callable[[str], None] = lambda _: None
        self._last_pause_at: clock.Ms | None = None

    def record_activity(self, upstream: str) -> None:
        """Note a sign of life.

        :param upstream: its id.
        """
        load = self._loads.of(upstream)
        load.last_heard_at = self._env.clock.now()
        if upstream in self._stalled:
            # It was only slow.
            self._stalled.discard(upstream)
            load.avoid_until = 0

    def is_stalled(self, upstream: str) -> bool:
        """Tell whether an upstream was found standing still lately.

        :param upstream: its id.
        """
        if upstream not in self._stalled:
            return False
        if self._loads.of(upstream).avoid_until > self._env.clock.now():
            return True
        self._stalled.discard(upstream)
        return False

    def record_silence(self, upstream: str) -> bool:
        """Note a silence; tell whether the upstream as a whole is silent.

        :param upstream: its id.
        """
        now = self._env.clock.now()
        load = self._loads.of(upstream)
        if now - load.last_heard_at < _ACTIVITY_WINDOW:
            return False
        if upstream not in self._stalled:
            self._mark_stalled(upstream, now)
            self.on_stall(upstream)
        return True

    def record_remote_stall(self, upstream: str) -> None:
        """Take another daemon's word that an upstream stands still.

        :param upstream: its id; ignored if it was heard here just now.
        """
        now = self._env.clock.now()
        is_active = (
            now - self._loads.of(upstream).last_heard_at < _ACTIVITY_WINDOW
        )
        if not is_active and upstream not in self._stalled:
            self._mark_stalled(upstream, now)

    def _mark_stalled(self, upstream: str, now: clock.Ms) -> None:
        load = self._loads.of(upstream)
        self._stalled.add(upstream)
        load.avoid_until = now + _STALL_AVOID_TIME
        self._env.log.change(
            "upstream stands still",
            upstream=upstream,
            silent_ms=now - load.last_heard_at if load.last_heard_at else None,
            own_requests=load.own,
        )

    def record_pause(self, duration: clock.Ms) -> None:
        """Note that this daemon itself did not run for a while.

        :param span: ms until now.
        """
        now, previous = self._env.clock.now(), self._last_pause_at
        self._last_pause_at = now
        if previous is None or now - previous >= duration:
            # All that wait at that time tell of the same pause.
            self._env.log.change("daemon stood still", for_ms=duration)

    def avoid(self, upstream: str, duration: clock.Ms) -> None:
        """Give an upstream no new work for a while.

        :param upstream: its id.
        :param span: ms.
        """
        load = self._loads.of(upstream)
        load.avoid_until = max(
            load.avoid_until, self._env.clock.now() + duration
        )
