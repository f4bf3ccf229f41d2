"""Whether this daemon may act as keeper, watcher or lender."""

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import pause
from citronvalve.peers import timing as timings


class Authority:
    """A life that others know of may act; a paused or buried one may not.

    A process that was stopped wakes with its old view: it takes itself for
    the keeper while another has taken over, and both would lend the same
    slots.  It therefore asks :meth:`acting` before each act, and after a
    pause or the news of its death starts a new life, which acts once a peer
    has answered to it.

    :param clock_: the clock.
    :param timing: the fleet's spans.
    :param invariants: where promises are asserted.
    :param first: whether there is nobody here to wait for.
    :ivar met: whether any peer was ever heard; a daemon that started while
        all its seeds were out of reach can't know what others hold.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        timing: timings.Timing,
        invariants: invariant.Invariants,
        first: bool = False,
    ) -> None:
        self._is_first = first
        self._clock = clock_
        self._timing = timing
        self._invariants = invariants
        self._pause = pause.PauseDetector(clock_, timing.pause_limit)
        # A VM that comes back under its old name keeps nothing.  The wall
        # clock puts its new life after the old one; should it lag, the
        # peers answer with the life they know, and one above is taken.
        self.incarnation = clock_.wall() // clock.SECOND + 1
        self._dead_incarnation = 0
        self._joined_at: clock.Ms | None = None
        self._started_at = clock_.now()
        self._acknowledged_at = clock_.now()
        self._has_others = False
        self.has_met_peer = False
        self.rejoins = 0

    def may_act(self) -> bool:
        """Tell whether this daemon may act at this very moment."""
        if self._joined_at is None or self._pause.is_paused():
            return False
        # A daemon that nobody answers to may be buried already, also when
        # it never stopped.  Until its own view says that it is alone, it
        # leaves the acting to those that hear each other.
        silent = self._clock.now() - self._acknowledged_at
        if self._has_others and silent > self._timing.suspect_after:
            return False
        self._invariants.check(
            "no dead incarnation acts",
            self.incarnation > self._dead_incarnation,
            f"{self.incarnation} {self._dead_incarnation}",
        )
        return True

    def is_paused(self) -> bool:
        """Tell whether the process was just stopped for a while."""
        return self._pause.is_paused()

    def is_joining(self) -> bool:
        """Tell whether peers have yet to answer to this life."""
        return self._joined_at is None

    def tick(self, others: bool) -> bool:
        """Note that the process runs; tell whether a new life began.

        :param others: whether any other member is alive in this view.
        """
        paused = self._pause.is_paused()
        self._pause.tick()
        self._has_others = others
        if paused:
            self.mark_dead(self.incarnation)
            return True
        waited = self._clock.now() - self._started_at
        if self.is_joining() and not others and waited >= self._join_timeout():
            self._joined_at = self._clock.now()
        return False

    def _join_timeout(self) -> clock.Ms:
        # Without seeds there is nobody to wait for.  A peer abroad that
        # answered would have told of members here.
        if self._is_first:
            return 0
        return self._timing.join_timeout // (2 if self.has_met_peer else 1)

    def acknowledge(self, incarnation: int) -> None:
        """A peer answered to a life of this daemon.

        :param incarnation: the life that the peer knows.
        """
        if self._pause.is_paused():
            return
        if incarnation != self.incarnation:
            return
        self._acknowledged_at = self._clock.now()
        if self.is_joining():
            self._joined_at = self._clock.now()

    def mark_dead(self, incarnation: int) -> None:
        """Start a new life, since an old one was declared dead.

        :param incarnation: the life that is over.
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
