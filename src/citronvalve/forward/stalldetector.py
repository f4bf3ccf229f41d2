"""Detection of stalled upstreams."""

from collections.abc import Callable

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice

#: An event of another stream within this time shows that the upstream works
#: and that only one connection is silent.
_ACTIVITY_WINDOW: clock.Ms = 300

#: A stalled upstream gets no new requests for this time unless it sends
#: data: about as long as it takes to probe and close its group.
_STALL_AVOID_TIME: clock.Ms = 2_500


class StallDetector:
    """Tells a stalled replica from a single silent connection.

    A replica that lost a member stalls for seconds before it reports so,
    and its callers would wait all that time.  All its streams go silent
    together; a lost connection goes silent alone.

    :param env: the daemon's environment.
    :param loads: the upstreams' loads.
    :ivar on_stall: called with the id of an upstream found stalled.
    :ivar is_lost: returns whether this VM has lost its link to an upstream,
        whose silence then says nothing about it.
    :ivar is_doubted: returns whether that is being checked.
    """

    def __init__(
        self, env: environments.Environment, loads: upstreamchoice.LoadTable
    ) -> None:
        self._env = env
        self._loads = loads
        self._stalled: set[str] = set()
        self.on_stall: Callable[[str], None] = lambda _: None
        self.is_lost: Callable[[str], bool] = lambda _: False
        self.is_doubted: Callable[[str], bool] = lambda _: False
        self._last_pause_at: clock.Ms | None = None

    def record_activity(self, upstream: str) -> None:
        """Record that an upstream sent data.

        :param upstream: its id.
        """
        load = self._loads.of(upstream)
        load.last_heard_at = self._env.clock.now()
        if upstream in self._stalled:
            # The upstream was slow, not stalled.
            self._stalled.discard(upstream)
            load.avoid_until = 0

    def is_stalled(self, upstream: str) -> bool:
        """Return whether an upstream was recently found stalled.

        :param upstream: its id.
        """
        if upstream not in self._stalled:
            return False
        if self._loads.of(upstream).avoid_until > self._env.clock.now():
            return True
        self._stalled.discard(upstream)
        return False

    def record_silence(self, upstream: str, checked: bool = False) -> bool:
        """Record a silence; return whether the whole upstream is silent.

        :param upstream: its id.
        :param checked: whether the link is known to be not at fault.
        """
        now = self._env.clock.now()
        load = self._loads.of(upstream)
        if now - load.last_heard_at < _ACTIVITY_WINDOW:
            return False
        if not checked and self.is_lost(upstream):
            return True
        if upstream not in self._stalled:
            if not checked and self.is_doubted(upstream):
                return False
            self._mark_stalled(upstream, now, is_own=True)
            self.on_stall(upstream)
        return True

    def is_link_lost(self, upstream: str) -> bool:
        """Return whether the link to a silent upstream is lost.

        A link in doubt is checked; a later call has the result.

        :param upstream: its id.
        """
        if self.is_lost(upstream):
            return True
        self.is_doubted(upstream)
        return False

    def record_remote_stall(self, upstream: str) -> None:
        """Record a stall that another daemon has found.

        :param upstream: its id; ignored if it was active here just now.
        """
        now = self._env.clock.now()
        is_active = (
            now - self._loads.of(upstream).last_heard_at < _ACTIVITY_WINDOW
        )
        if not is_active and upstream not in self._stalled:
            self._mark_stalled(upstream, now, is_own=False)

    def _mark_stalled(
        self, upstream: str, now: clock.Ms, *, is_own: bool
    ) -> None:
        load = self._loads.of(upstream)
        self._stalled.add(upstream)
        load.avoid_until = now + _STALL_AVOID_TIME
        self._env.log.change(
            "upstream stands still",
            upstream=upstream,
            silent_ms=now - load.last_heard_at if load.last_heard_at else None,
            own_requests=load.own,
            found="here" if is_own else "elsewhere",
        )

    def record_pause(self, duration: clock.Ms) -> None:
        """Record that this daemon itself did not run.

        :param duration: ms, ending at the time of the call.
        """
        now, previous = self._env.clock.now(), self._last_pause_at
        self._last_pause_at = now
        if previous is None or now - previous >= duration:
            # All waiting requests report the same pause; it is logged once.
            self._env.log.change("daemon stood still", for_ms=duration)

    def avoid(self, upstream: str, duration: clock.Ms) -> None:
        """Send an upstream no new requests for a while.

        :param upstream: its id.
        :param duration: ms.
        """
        load = self._loads.of(upstream)
        load.avoid_until = max(
            load.avoid_until, self._env.clock.now() + duration
        )
