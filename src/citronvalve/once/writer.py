"""Batches the changes of many keys; state in, decision out."""

import collections
import itertools

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.once import batch as batches
from citronvalve.once import job as jobs
from citronvalve.once import pacer as pacers
from citronvalve.once import settled

#: How long the platform is left alone after it failed.  Doubled each time:
#: 1,600 daemons that ask an ailing store at once would keep it down, and
#: a caller is refused for at most the last wait after it came back.
FIRST_PAUSE: clock.Ms = 100
LONGEST_PAUSE: clock.Ms = 2_000

#: Lost answers in a row after which the platform counts as failing.  One
#: is settled at once by trying again, which is why it is no failure yet.
_MOST_LOST = 2

#: Transactions that outcomes leave to claims.  A caller waits for a claim
#: and nobody for an outcome, which rides in the next claim's batch when
#: transactions are scarce, and goes by itself within 100 ms otherwise.
_SPARE = 2

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
        promises: invariant.Invariants,
    ) -> None:
        self.pacer = pacers.Pacer(rate, now)
        self._daemon = daemon
        self._promises = promises
        self._waiting: collections.deque[jobs.Job] = collections.deque()
        self._in_flight: batches.Batch | None = None
        self._withdrawn: set[str] = set()
        self._numbers = itertools.count(1)
        self._pause: clock.Ms = 0
        self._open_at = now
        self._lost = 0

    def __len__(self) -> int:
        """Return how many changes are not settled."""
        flying = self._in_flight.jobs if self._in_flight else ()
        return len(self._waiting) + len(flying)

    def closed_for(self, now: clock.Ms) -> clock.Ms:
        """Return ms that the platform is still left alone; 0 is open.

        :param now: monotonic time in ms.
        """
        return max(0, self._open_at - now)

    def submit(self, job: jobs.Job) -> None:
        """Let a change wait for its batch.

        :param job: the change.
        """
        self._waiting.append(job)

    def withdraw(self, attempt: str) -> None:
        """Give up a claim whose caller went away or is out of time.

        The caller is told that nothing was run, so the key must come free
        again, whether or not the claim took or will take effect.

        :param attempt: the claim's.
        """
        if self._in_flight and any(
            job.attempt == attempt for job in self._in_flight.jobs
        ):
            self._withdrawn.add(attempt)
            return
        self._waiting = collections.deque(
            jobs.release(job.place, attempt)
            if _is_claim(job, attempt)
            else job
            for job in self._waiting
            if job.unsure or not _is_claim(job, attempt)
        )

    def wait(self, now: clock.Ms) -> clock.Ms:
        """Return ms until a batch may go, should there be one.

        :param now: monotonic time in ms.
        """
        claims = any(j.kind is jobs.JobKind.CLAIM for j in self._waiting)
        paced = self.pacer.wait(now, 0 if claims else _SPARE)
        return max(self.closed_for(now), paced)

    def take(self, now: clock.Ms, wall: clock.Ms) -> batches.Batch | None:
        """Take the next batch to commit; None when it is not time.

        :param now: monotonic time in ms.
        :param wall: wall time in ms.
        """
        if self._in_flight or not self._waiting or self.wait(now):
            return None
        picked = batches.pick(self._waiting)
        chosen = {id(job) for job in picked}
        self._waiting = collections.deque(
            job for job in self._waiting if id(job) not in chosen
        )
        places = {job.place for job in picked}
        self._promises.check(_ONE_CLAIM, len(places) == len(picked))
        self.pacer.take(now)
        name = f"{self._daemon}-{next(self._numbers)}"
        self._in_flight = batches.Batch(name, picked, wall)
        return self._in_flight

    def settle(
        self, batch: batches.Batch, result: object, now: clock.Ms
    ) -> tuple[settled.Settled, ...]:
        """Take the platform's answer to a batch.

        :param batch: as it was taken.
        :param result: what :meth:`TableService.commit` returned.
        :param now: monotonic time in ms.
        :return: the ends to tell; what is not among them is tried again.
        """
        self._promises.check(_ONE_BATCH, batch is self._in_flight, batch.name)
        self._in_flight = None
        self._note(result, now)
        ends, again = batches.settle(batch, result)
        told = [end for end in ends if not self._take_back(end)]
        if self._failing(result):
            again += tuple(self._waiting)
            self._waiting.clear()
        told += self._retry(again, result)
        return tuple(told)

    def _note(self, result: object, now: clock.Ms) -> None:
        lost = isinstance(result, missing.AnswerLost)
        self._lost = self._lost + 1 if lost else 0
        if self._failing(result):
            self._pause = min(max(FIRST_PAUSE, 2 * self._pause), LONGEST_PAUSE)
            self._open_at = now + self._pause
        elif not lost:
            self._pause = 0

    def _failing(self, result: object) -> bool:
        return (
            isinstance(result, missing.Unavailable) or self._lost >= _MOST_LOST
        )

    def _take_back(self, end: settled.Settled) -> bool:
        """Release a claim that took effect after it was withdrawn."""
        if end.job.attempt not in self._withdrawn:
            return False
        self._withdrawn.discard(end.job.attempt)
        if isinstance(end.end, settled.Owned):
            self._waiting.append(
                jobs.release(end.job.place, end.job.attempt, end.end.version)
            )
        return True

    def _retry(
        self, again: tuple[jobs.Job, ...], result: object
    ) -> list[settled.Settled]:
        told = []
        kept = []
        for job in again:
            withdrawn = job.attempt in self._withdrawn
            self._withdrawn.discard(job.attempt)
            claim = job.kind is jobs.JobKind.CLAIM
            if not claim or not (withdrawn or self._failing(result)):
                kept.append(job)
                continue
            # The claim ends here.  Unless it is certain that it never took
            # effect, its row would bar the key until someone gives it back.
            if job.unsure:
                kept.append(jobs.release(job.place, job.attempt))
            if not withdrawn:
                told.append(settled.Settled(job, settled.Failed(result)))
        self._waiting.extendleft(reversed(kept))
        return told


def _is_claim(job: jobs.Job, attempt: str) -> bool:
    return job.kind is jobs.JobKind.CLAIM and job.attempt == attempt
