"""Whether this daemon may act as coordinator, watcher or lender."""

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import pause
from citronvalve.peers import timing as timings


class Authority:
    """Tracks whether this daemon's incarnation may act.

    A process resumes from a pause with an outdated view.  It would consider
    itself the coordinator while another one has taken over, and both would
    lend the same slots.  It therefore checks :meth:`may_act` before each
    action.  After a pause, or when it was declared dead, it starts a new
    incarnation, which may act once a peer has acknowledged it.

    :param clock_: the clock.
    :param timing: the fleet's timing.
    :param invariants: checks the invariants.
    :param is_first: whether there is no other daemon to wait for.
    :ivar incarnation: the current incarnation.
    :ivar has_met_peer: whether any message arrived; a daemon that started
        while all its seeds were unreachable can't know the loans of others.
    :ivar rejoins: number of new incarnations since the start.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        timing: timings.Timing,
        invariants: invariant.Invariants,
        is_first: bool = False,
    ) -> None:
        self._is_first = is_first
        self._clock = clock_
        self._timing = timing
        self._invariants = invariants
        self._pause = pause.PauseDetector(clock_, timing.pause_limit)
        # A VM that restarts under its name coordinates nothing.  By the wall
        # clock its incarnation is higher than the previous one.  If the clock
        # lags, peers reply with the incarnation that they know, and this
        # daemon takes the next one.
        self.incarnation = clock_.wall() // clock.SECOND + 1
        self._dead_incarnation = 0
        self._joined_at: clock.Ms | None = None
        self._started_at = clock_.now()
        self._acknowledged_at = clock_.now()
        self._has_others = False
        self.has_met_peer = False
        self.rejoins = 0

    def may_act(self) -> bool:
        """Return whether this daemon may act at this moment."""
        if self._joined_at is None or self._pause.is_paused():
            return False
        # A daemon without replies may already be marked dead, even if it was
        # not paused.  It acts again after a reply, or when it is alone in its
        # own view.
        silence = self._clock.now() - self._acknowledged_at
        if self._has_others and silence > self._timing.suspect_after:
            return False
        self._invariants.check(
            "no dead incarnation acts",
            self.incarnation > self._dead_incarnation,
            f"{self.incarnation} {self._dead_incarnation}",
        )
        return True

    def is_paused(self) -> bool:
        """Return whether the process was just paused."""
        return self._pause.is_paused()

    def is_joining(self) -> bool:
        """Return whether no peer has acknowledged this incarnation yet."""
        return self._joined_at is None

    def tick(self, has_others: bool) -> bool:
        """Record that the process runs; return whether it was paused.

        :param has_others: whether any other member is alive in this view.
        """
        was_paused = self._pause.is_paused()
        self._pause.tick()
        self._has_others = has_others
        if was_paused:
            self.mark_dead(self.incarnation)
            return True
        waited = self._clock.now() - self._started_at
        if (
            self.is_joining()
            and not has_others
            and waited >= self._join_timeout()
        ):
            self._joined_at = self._clock.now()
        return False

    def _join_timeout(self) -> clock.Ms:
        # Without seeds there is no daemon to wait for.  A peer of another data
        # centre that replied would have sent the members of this one.
        if self._is_first:
            return 0
        return self._timing.join_timeout // (2 if self.has_met_peer else 1)

    def acknowledge(self, incarnation: int) -> None:
        """Record that a peer knows an incarnation of this daemon.

        :param incarnation: the incarnation that the peer knows.
        """
        if self._pause.is_paused():
            return
        if incarnation != self.incarnation:
            return
        self._acknowledged_at = self._clock.now()
        if self.is_joining():
            self._joined_at = self._clock.now()

    def mark_dead(self, incarnation: int) -> None:
        """Start a new incarnation if the current one was declared dead.

        :param incarnation: the dead incarnation.
        """
        if (
            incarnation < self.incarnation
            and incarnation <= self._dead_incarnation
        ):
            return
        self._dead_incarnation = max(self._dead_incarnation, incarnation)
        if incarnation < self.incarnation:
            return
        self.incarnation = incarnation + 1
        self._joined_at = None
        self._started_at = self._clock.now()
        self.rejoins += 1
