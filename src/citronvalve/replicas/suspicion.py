"""Probe results of a runner that may be lost."""

from citronvalve.model import clock
from citronvalve.replicas import probefailure

#: Consecutive failed probes after which a runner counts as silent.  One may
#: be due to a dropped packet; two still take less than a second.
_FAILURES_UNTIL_SILENT = 2

#: More time than this between two probes is not counted as a silence: the
#: leader may not have run.
_MAX_PROBE_INTERVAL: clock.Ms = 1_000


class Suspicion:
    """Suspicion that one runner is lost.

    A runner without an open port is lost only if another runner of its data
    centre answered between its failed probes.  Otherwise the whole data
    centre may have paused; once another runner answers, the probes start
    anew, since not all resume at the same time.

    One that accepts connections and does not answer may pause.  It is lost
    only after the time in which its group would break by itself, of which
    only those spans count in which another runner of its data centre
    answered.  Connections that are not opened any more are no further sign:
    a runner that pauses accepts none, so that its queue gets full.

    :param pause_limit: longest ms for which a runner may pause.
    :ivar probed_at: monotonic ms of the last probe, None before the first.
    :ivar silent_at: monotonic ms from which it counts as silent, or None.
    :ivar is_lost: whether it counts as lost.
    :ivar answered_unlisted: whether it answered after it had left the list.
    """

    __slots__ = (
        "_failed_probes",
        "_first_probed_at",
        "_is_conclusive",
        "_pause_limit",
        "_paused_for",
        "_paused_since",
        "answered_unlisted",
        "is_lost",
        "probed_at",
        "silent_at",
    )

    def __init__(self, pause_limit: clock.Ms) -> None:
        self._pause_limit = pause_limit
        self._failed_probes = 0
        self._first_probed_at: clock.Ms | None = None
        self._is_conclusive = False
        self._paused_since: clock.Ms | None = None
        self._paused_for: clock.Ms = 0
        self.probed_at: clock.Ms | None = None
        self.silent_at: clock.Ms | None = None
        self.is_lost = False
        self.answered_unlisted = False

    @property
    def is_silent(self) -> bool:
        """Return whether the last probes in a row had no answer."""
        return self.silent_at is not None

    @property
    def is_paused(self) -> bool:
        """Return whether it accepts connections and does not answer."""
        return self._paused_since is not None and not self.is_lost

    @property
    def last_probe_failed(self) -> bool:
        """Return whether the last probe had no answer."""
        return self._failed_probes > 0 or self.is_paused

    def silent_for(self, now: clock.Ms) -> clock.Ms:
        """Return the ms since the first of the last failed probes.

        :param now: monotonic ms.
        """
        since = self._paused_since
        if self._failed_probes:
            since = self._first_probed_at
        return now - since if since is not None else 0

    def is_undecided(self, heard_at: clock.Ms | None) -> bool:
        """Return whether it is silent and more probes decide nothing now.

        :param heard_at: monotonic ms of the last answer of another runner of
            the data centre, or None.
        """
        if self._failed_probes < _FAILURES_UNTIL_SILENT or self.is_lost:
            return False
        return not _is_heard_since(heard_at, self.probed_at)

    def record_probe(self, now: clock.Ms, heard_at: clock.Ms | None) -> bool:
        """Record that a probe is sent; return whether a witness is needed.

        :param now: monotonic ms.
        :param heard_at: as for :meth:`is_undecided`.
        """
        if self.is_paused and _is_heard_since(heard_at, self.probed_at):
            self._paused_for += self._probe_interval(now)
        if self._failed_probes >= _FAILURES_UNTIL_SILENT and not self.is_lost:
            self._failed_probes = 0
            self._first_probed_at = None
        starts_anew = self._first_probed_at is None
        if starts_anew:
            self._first_probed_at = now
        self.probed_at = now
        self._is_conclusive = _is_heard_since(heard_at, self._first_probed_at)
        return starts_anew or self.is_paused

    def _probe_interval(self, now: clock.Ms) -> clock.Ms:
        if self.probed_at is None:
            return 0
        return min(now - self.probed_at, _MAX_PROBE_INTERVAL)

    def record_failure(
        self, how: probefailure.ProbeFailure, now: clock.Ms
    ) -> None:
        """Record that a probe had no report.

        :param how: how it failed.
        :param now: monotonic ms.
        """
        is_full = how is probefailure.ProbeFailure.UNREACHED and self.is_paused
        if how in probefailure.PAUSE_LIKE or is_full:
            self._record_pause(now)
            return
        self._paused_since = None
        self._failed_probes += 1
        if self._failed_probes < _FAILURES_UNTIL_SILENT:
            return
        if self.silent_at is None:
            self.silent_at = now
        self.is_lost = self.is_lost or self._is_conclusive

    def _record_pause(self, now: clock.Ms) -> None:
        if self.is_lost:
            return
        if self._paused_since is None:
            self._paused_since, self._paused_for = self.probed_at, 0
        # A connection was opened, so that earlier failures are void.
        self._failed_probes = 0
        self._first_probed_at = self.silent_at = None
        if self._paused_for >= self._pause_limit:
            self.is_lost = True
            self.silent_at = now

    def record_unlisted_answer(self) -> None:
        """Record that the runner answered a probe after it left the list."""
        self._failed_probes = 0
        self._first_probed_at = self.silent_at = None
        self._paused_since = None
        self.is_lost = False
        self.answered_unlisted = True


def _is_heard_since(
    heard_at: clock.Ms | None, probed_at: clock.Ms | None
) -> bool:
    if heard_at is None or probed_at is None:
        return False
    return heard_at >= probed_at
