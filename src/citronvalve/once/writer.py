"""Batches the changes of many keys; performs no I/O."""

import collections
import itertools

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.once import batch as batches
from citronvalve.once import change as changes
from citronvalve.once import changeresult
from citronvalve.once import pacer as pacers

#: Bounds of the exponential backoff after the platform failed.  Without it,
#: 1,600 daemons that retry at once would keep an overloaded store down.
#: Callers are rejected for at most MAX_BACKOFF after the store recovers.
MIN_BACKOFF: clock.Ms = 100
MAX_BACKOFF: clock.Ms = 2_000

#: Consecutive lost responses after which the platform counts as failing.  A
#: single one is resolved by an immediate retry.
_MAX_LOST_RESPONSES = 2

#: Transactions reserved for claims.  Callers wait for claims but not for
#: outcomes.  If transactions are scarce, outcomes join the next batch with
#: a claim; otherwise they are committed within 100 ms.
_RESERVED_FOR_CLAIMS = 2

_ONE_BATCH = "one batch is in flight at a time"
_ONE_CLAIM = "a transaction changes a key once"


class Writer:
    """Queue of the changes of one daemon.

    One batch is in flight at a time and further changes join the next one,
    so a slow store gets larger batches instead of more of them.

    :param daemon: name of this start of the daemon, never reused.
    :param rate: transactions a second that this daemon may make.
    :param now: monotonic time in ms.
    :param invariants: checks and counts the invariants.
    """

    def __init__(
        self,
        daemon: str,
        rate: float,
        now: clock.Ms,
        invariants: invariant.Invariants,
    ) -> None:
        self.pacer = pacers.Pacer(rate, now)
        self._daemon = daemon
        self._invariants = invariants
        self._queue: collections.deque[changes.Change] = collections.deque()
        self._in_flight: batches.Batch | None = None
        self._withdrawn: set[str] = set()
        self._numbers = itertools.count(1)
        self._backoff: clock.Ms = 0
        self._retry_at = now
        self._lost_responses = 0

    def __len__(self) -> int:
        """Return the number of changes queued and in flight."""
        in_flight = self._in_flight.changes if self._in_flight else ()
        return len(self._queue) + len(in_flight)

    def backoff_left(self, now: clock.Ms) -> clock.Ms:
        """Return the rest of the backoff in ms; 0 if there is none.

        :param now: monotonic time in ms.
        """
        return max(0, self._retry_at - now)

    def submit(self, change: changes.Change) -> None:
        """Queue a change for the next batch.

        :param change: the change.
        """
        self._queue.append(change)

    def withdraw(self, attempt_id: str) -> None:
        """Withdraw a claim whose caller disconnected or timed out.

        The caller is told that nothing was run, so the key must be released
        even if the claim has taken effect or takes effect later.

        :param attempt_id: attempt of the claim.
        """
        if self._in_flight and any(
            change.attempt_id == attempt_id
            for change in self._in_flight.changes
        ):
            self._withdrawn.add(attempt_id)
            return
        self._queue = collections.deque(
            changes.release(change.row_key, attempt_id)
            if _is_claim(change, attempt_id)
            else change
            for change in self._queue
            if change.maybe_applied or not _is_claim(change, attempt_id)
        )

    def wait(self, now: clock.Ms) -> clock.Ms:
        """Return ms until a batch may be committed, if there is one.

        :param now: monotonic time in ms.
        """
        has_claim = any(
            j.kind is changes.ChangeKind.CLAIM for j in self._queue
        )
        paced = self.pacer.wait(now, 0 if has_claim else _RESERVED_FOR_CLAIMS)
        return max(self.backoff_left(now), paced)

    def next_batch(
        self, now: clock.Ms, wall: clock.Ms
    ) -> batches.Batch | None:
        """Return the next batch to commit; None if none is due.

        :param now: monotonic time in ms.
        :param wall: wall time in ms.
        """
        if self._in_flight or not self._queue or self.wait(now):
            return None
        picked = batches.pick(self._queue)
        chosen = {id(change) for change in picked}
        self._queue = collections.deque(
            change for change in self._queue if id(change) not in chosen
        )
        row_keys = {change.row_key for change in picked}
        self._invariants.check(_ONE_CLAIM, len(row_keys) == len(picked))
        self.pacer.consume(now)
        name = f"{self._daemon}-{next(self._numbers)}"
        self._in_flight = batches.Batch(name, picked, wall)
        return self._in_flight

    def settle(
        self, batch: batches.Batch, result: object, now: clock.Ms
    ) -> tuple[changeresult.ChangeResult, ...]:
        """Apply the result of a commit.

        :param batch: the batch from :meth:`next_batch`.
        :param result: what :meth:`TableService.commit` returned.
        :param now: monotonic time in ms.
        :return: the final results; all other changes are retried.
        """
        self._invariants.check(
            _ONE_BATCH, batch is self._in_flight, batch.name
        )
        self._in_flight = None
        self._update_backoff(result, now)
        finished, to_retry = batches.settle(batch, result)
        results = [
            end for end in finished if not self._release_if_withdrawn(end)
        ]
        if self._failing(result):
            to_retry += tuple(self._queue)
            self._queue.clear()
        results += self._requeue(to_retry, result)
        return tuple(results)

    def _update_backoff(self, result: object, now: clock.Ms) -> None:
        lost = isinstance(result, missing.AnswerLost)
        self._lost_responses = self._lost_responses + 1 if lost else 0
        if self._failing(result):
            self._backoff = min(
                max(MIN_BACKOFF, 2 * self._backoff), MAX_BACKOFF
            )
            self._retry_at = now + self._backoff
        elif not lost:
            self._backoff = 0

    def _failing(self, result: object) -> bool:
        return (
            isinstance(result, missing.Unavailable)
            or self._lost_responses >= _MAX_LOST_RESPONSES
        )

    def _release_if_withdrawn(
        self, change_result: changeresult.ChangeResult
    ) -> bool:
        """Release a claim that took effect after it was withdrawn."""
        if change_result.change.attempt_id not in self._withdrawn:
            return False
        self._withdrawn.discard(change_result.change.attempt_id)
        if isinstance(change_result.outcome, changeresult.Claimed):
            self._queue.append(
                changes.release(
                    change_result.change.row_key,
                    change_result.change.attempt_id,
                    change_result.outcome.version,
                )
            )
        return True

    def _requeue(
        self, to_retry: tuple[changes.Change, ...], result: object
    ) -> list[changeresult.ChangeResult]:
        results = []
        requeued = []
        for change in to_retry:
            withdrawn = change.attempt_id in self._withdrawn
            self._withdrawn.discard(change.attempt_id)
            is_claim = change.kind is changes.ChangeKind.CLAIM
            if not is_claim or not (withdrawn or self._failing(result)):
                requeued.append(change)
                continue
            # The claim is abandoned.  If it may have taken effect, its row
            # would block the key until it is released.
            if change.maybe_applied:
                requeued.append(
                    changes.release(change.row_key, change.attempt_id)
                )
            if not withdrawn:
                results.append(
                    changeresult.ChangeResult(
                        change, changeresult.ClaimFailed(result)
                    )
                )
        self._queue.extendleft(reversed(requeued))
        return results


def _is_claim(change: changes.Change, attempt_id: str) -> bool:
    return (
        change.kind is changes.ChangeKind.CLAIM
        and change.attempt_id == attempt_id
    )
