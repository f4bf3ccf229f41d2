"""Schedules polls of the platform's table, and turns scans into deltas."""

import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.table import delta as deltas
from citronvalve.table import layout


class PollTiming(NamedTuple):
    """Intervals between polls.

    ``period``: ms between polls.  Two watchers in each of 31 data centres
    make 177 of the 2,000 reads a second that the platform serves.  An edit
    may take 1 s to reach all daemons; half of it is left after the poll.
    ``jitter``: share by which a delay is shortened or lengthened, so that
    watchers that start together do not read together.
    ``max_period``: ms between polls during an outage.  An edit right after
    the outage has half of its 9 s left to reach all daemons.
    """

    period: clock.Ms = 350
    jitter: float = 0.2
    max_period: clock.Ms = 4_000


class Watcher:
    """Turns scans of the table into deltas, without I/O.

    Deltas never go back to an earlier revision: a scan may come from a
    lagging replica, or from a store that was restored from a backup.

    :param timing: intervals between polls.
    :param rng: source of the jitter.
    :param invariants: asserts that the revision rises.
    :ivar revision: the latest revision read; the next scan starts from it.
    :ivar failures: failed polls since the last successful one.
    """

    def __init__(
        self,
        timing: PollTiming,
        rng: random.Random,
        invariants: invariant.Invariants,
    ) -> None:
        self._timing = timing
        self._rng = rng
        self._invariants = invariants
        self._last_read_at: clock.Ms | None = None
        self.revision = rows.NO_ROW
        self.failures = 0

    def skip_to(self, revision: int) -> None:
        """Continue from the revision of a copy received from a peer.

        :param revision: of the copy; a lower one has no effect.
        """
        self.revision = max(self.revision, revision)

    def poll_delay(self) -> clock.Ms:
        """Return the delay until the next poll.

        The delay doubles with each failure up to a limit and has jitter.
        Otherwise all watchers would poll a recovering store within its
        first second and overload it.
        """
        # 16 doublings exceed any limit; more would overflow.
        doubled = self._timing.period << min(self.failures, 16)
        span = min(doubled, self._timing.max_period)
        spread = self._rng.uniform(-1, 1) * self._timing.jitter
        return max(1, int(span * (1 + spread)))

    def age(self, now: clock.Ms) -> clock.Ms | missing.NotFound:
        """Return the time since the last successful poll.

        :param now: monotonic time in ms.
        """
        if self._last_read_at is None:
            return missing.NotFound(
                "the table has not been read yet", "platform"
            )
        return now - self._last_read_at

    def record_failure(self) -> None:
        """Record a failed poll; the table stays in force and its age grows."""
        self.failures += 1

    def apply_scan(
        self, scan: rows.Scan, requested_at: clock.Ms
    ) -> deltas.Delta | missing.Stale | None:
        """Apply a scan after :attr:`revision`; None if nothing changed.

        :param scan: as returned by the platform.
        :param requested_at: monotonic time in ms before the request; the
            table's age counts from it.
        """
        newer = tuple(r for r in scan.rows if r.version > self.revision)
        flaw = self._find_inconsistency(scan.revision, newer)
        if flaw:
            return self._reject(flaw)
        self.failures = 0
        self._last_read_at = requested_at
        return self._advance(newer) if newer else None

    def apply_full_scan(self, scan: rows.Scan) -> deltas.Delta | missing.Stale:
        """Turn a scan of the whole table into a delta; the revision stays.

        :param scan: as returned by the platform.
        """
        flaw = self._find_inconsistency(scan.revision, scan.rows)
        if flaw:
            return self._reject(flaw)
        return deltas.Delta(rows.NO_ROW, _max_revision(scan.rows), scan.rows)

    def _find_inconsistency(
        self, revision: int, found: tuple[rows.Row, ...]
    ) -> str:
        if revision < self.revision:
            return "an older revision than one already seen"
        head = [row for row in found if row.key == layout.HEAD]
        # Every edit writes the head: rows without it, or newer than it, are
        # part of an incomplete edit.
        if found and not head:
            return "rows without the head"
        if head and head[0].version != _max_revision(found):
            return "rows newer than the head"
        return ""

    def _advance(self, newer: tuple[rows.Row, ...]) -> deltas.Delta:
        to = _max_revision(newer)
        self._invariants.check(
            "a watcher's revision rises",
            to > self.revision,
            f"{self.revision} to {to}",
        )
        base, self.revision = self.revision, to
        return deltas.Delta(base, to, newer)

    def _reject(self, why: str) -> missing.Stale:
        self.failures += 1
        return missing.Stale(f"the platform returned {why}", layout.TABLE)


def _max_revision(found: tuple[rows.Row, ...]) -> int:
    return max((row.version for row in found), default=rows.NO_ROW)
