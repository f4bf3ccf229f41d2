"""Batches the changes of many keys; state in, decision out."""

import collections
import itertools

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.once import batch as batches
from citronvalve.once import change as changes
from citronvalve.once import changeresult
from citronvalve.once import pacer as pacers

#: How long the platform is left alone after it failed.  Doubled each time:
#: 1,600 daemons that ask an ailing store at once would keep it down, and
#: a caller is refused for at most the last wait after it came back.
MIN_BACKOFF: clock.Ms = 100
MAX_BACKOFF: clock.Ms = 2_000

#: Lost answers in a row after which the platform counts as failing.  One
#: is settled at once by trying again, which is why it is no failure yet.
_MAX_LOST_RESPONSES = 2

#: Transactions that outcomes leave to claims.  A caller waits for a claim
#: and nobody for an outcome, which rides in the next claim's batch when
#: transactions are scarce, and goes by itself within 100 ms otherwise.
_RESERVED_FOR_CLAIMS = 2

_ONE_BATCH = "one batch is in flight at a time"
_ONE_CLAIM = "a transaction changes a key once"


class Writer:
    """The changes of one daemon that wait for the platform.

    One batch is in flight at a time: what comes meanwhile shares the next
    one, so that a slow store gets larger batches and not more of them.

    :param daemon: name of this start of the daemon, unique for ever.
    :param rate: transactions a second that this daemon may make.
    :param now: monotonic time in ms.
    :param promises: counts the invariants.
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
        """Return how many changes are not settled."""
        in_flight = self._in_flight.changes if self._in_flight else ()
        return len(self._queue) + len(in_flight)

    def backoff_left(self, now: clock.Ms) -> clock.Ms:
        """Return ms that the platform is still left alone; 0 is open.

        :param now: monotonic time in ms.
        """
        return max(0, self._retry_at - now)

    def submit(self, change: changes.Change) -> None:
        """Let a change wait for its batch.

        :param job: the change.
        """
        self._queue.append(change)

    def withdraw(self, attempt_id: str) -> None:
        """Give up a claim whose caller went away or is out of time.

        The caller is told that nothing was run, so the key must come free
        again, whether or not the claim took or will take effect.

        :param attempt: the claim's.
        """
        if self._in_flight and any(
            job.attempt_id == attempt_id for job in self._in_flight.changes
        ):
            self._withdrawn.add(attempt_id)
            return
        self._queue = collections.deque(
            changes.release(job.row_key, attempt_id)
            if _is_claim(job, attempt_id)
            else job
            for job in self._queue
            if job.maybe_applied or not _is_claim(job, attempt_id)
        )

    def wait(self, now: clock.Ms) -> clock.Ms:
        """Return ms until a batch may go, should there be one.

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
        """Take the next batch to commit; None when it is not time.

        :param now: monotonic time in ms.
        :param wall: wall time in ms.
        """
        if self._in_flight or not self._queue or self.wait(now):
            return None
        picked = batches.pick(self._queue)
        chosen = {id(job) for job in picked}
        self._queue = collections.deque(
            job for job in self._queue if id(job) not in chosen
        )
        row_keys = {job.row_key for job in picked}
        self._invariants.check(_ONE_CLAIM, len(row_keys) == len(picked))
        self.pacer.consume(now)
        name = f"{self._daemon}-{next(self._numbers)}"
        self._in_flight = batches.Batch(name, picked, wall)
        return self._in_flight

    def settle(
        self, batch: batches.Batch, result: object, now: clock.Ms
    ) -> tuple[changeresult.ChangeResult, ...]:
        """Take the platform's answer to a batch.

        :param batch: as it was taken.
        :param result: what :meth:`TableService.commit` returned.
        :param now: monotonic time in ms.
        :return: the ends to tell; what is not among them is tried again.
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
            # The claim ends here.  Unless it is certain that it never took
            # effect, its row would bar the key until someone gives it back.
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
