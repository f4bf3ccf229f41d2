"""Decides when to look at the platform's table, and what is new in it."""

import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.table import delta as deltas
from citronvalve.table import layout


class PollTiming(NamedTuple):
    """How often to look.

    ``period``: ms between looks.  Two watchers in each of 31 data centres
    make 177 reads a second of the 2,000 that the platform serves, and the
    way from them to all daemons keeps half a second of the one that an edit
    may take.
    ``jitter``: share by which a wait is shortened or lengthened, so that
    watchers that were started together do not read together.
    ``longest``: ms between looks in an outage; an edit made right after it
    has then still half of its 9 s for the way to all daemons.
    """

    period: clock.Ms = 350
    jitter: float = 0.2
    max_period: clock.Ms = 4_000


class Watcher:
    """Turns reads of the table into deltas; pure.

    It never tells of a revision at or below one that it has seen: a read
    may come from a replica that lags, or from a store that was put back.

    :param timing: how often to look.
    :param chance: for jitter.
    :param invariants: where promises are asserted.
    :ivar revision: the newest revision seen; the next scan starts from it.
    :ivar failures: failed looks since the last good one.
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
        """Go on from a copy that came from a peer.

        :param revision: of the copy; a lower one changes nothing.
        """
        self.revision = max(self.revision, revision)

    def poll_delay(self) -> clock.Ms:
        """Return ms until the next look.

        Load: a store that comes back after an outage, with every watcher
        waiting for it.  Waits double up to a limit and are spread out, or
        the first second would bring down a store that is barely up.
        """
        # More doublings than these pass any limit, and would overflow.
        doubled = self._timing.period << min(self.failures, 16)
        span = min(doubled, self._timing.max_period)
        spread = self._rng.uniform(-1, 1) * self._timing.jitter
        return max(1, int(span * (1 + spread)))

    def age(self, now: clock.Ms) -> clock.Ms | missing.NotFound:
        """Return ms since the last good look.

        :param now: monotonic time in ms.
        """
        if self._last_read_at is None:
            return missing.NotFound("the table was never read", "platform")
        return now - self._last_read_at

    def record_failure(self) -> None:
        """Take in that a look failed; only the age tells, the table stays."""
        self.failures += 1

    def apply_scan(
        self, scan: rows.Scan, requested_at: clock.Ms
    ) -> deltas.Delta | missing.Stale | None:
        """Take in a scan after :attr:`revision`; None when nothing changed.

        :param scan: as the platform gave it.
        :param asked_at: monotonic ms before it was asked for: it is no
            newer than that.
        """
        newer = tuple(r for r in scan.rows if r.version > self.revision)
        flaw = self._find_inconsistency(scan.revision, newer)
        if flaw:
            return self._reject(flaw)
        self.failures = 0
        self._last_read_at = requested_at
        return self._advance(newer) if newer else None

    def apply_full_scan(self, scan: rows.Scan) -> deltas.Delta | missing.Stale:
        """Take in a scan of the whole table; the revision stays.

        :param scan: as the platform gave it.
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
        # half of an edit.
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
        return missing.Stale(f"the platform told {why}", layout.TABLE)


def _max_revision(found: tuple[rows.Row, ...]) -> int:
    return max((row.version for row in found), default=rows.NO_ROW)
