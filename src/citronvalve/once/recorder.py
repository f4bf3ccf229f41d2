"""The record of non-idempotent requests, as the entry uses it."""

import itertools
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.model import refusal
from citronvalve.once import answer as answers
from citronvalve.once import attempt as attempts
from citronvalve.once import batch as batches
from citronvalve.once import call as calls
from citronvalve.once import decision
from citronvalve.once import job as jobs
from citronvalve.once import kept as keeping
from citronvalve.once import outcome as outcomes
from citronvalve.once import record as records
from citronvalve.once import replay
from citronvalve.once import said
from citronvalve.once import settled
from citronvalve.once import state
from citronvalve.once import vault
from citronvalve.once import waiting as waits
from citronvalve.once import writer as writers
from citronvalve.storage import objectstore
from citronvalve.storage import tableservice

#: Longest key, in characters; common clients send a UUID of 36.
LONGEST_KEY = 255

#: How long a caller waits for its claim at most: one call of the platform
#: that times out after 2 s and one more that settles it.  After that the
#: store is not merely slow, and the caller can still try elsewhere.
PATIENCE: clock.Ms = 4_000

#: Time after a call's deadline until its row counts as left behind.  The
#: outcome of a call that ended at its deadline takes a few batches to be
#: written.
GRACE: clock.Ms = 10_000

#: Changes that wait at once.  An outage leaves one for each call then in
#: progress; beyond this the daemon refuses new calls.
MOST_WAITING = 20_000

_ONE_END = "an attempt is dispatched once and ends once"
_PROOF = "not run is said only of what was never sent or was refused"
_UNUSED = "a claim that is given up was never dispatched"
_PROVEN = {outcomes.Event.NEVER_SENT, outcomes.Event.REFUSED}


class Stores(NamedTuple):
    """What the platform gives the record."""

    table: tableservice.TableService
    objects: objectstore.ObjectStore


class Pending(NamedTuple):
    """A claim that waits for its batch."""

    call: calls.Call
    record: records.Record
    ticket: waits.Ticket


class Recorder:
    """Lets a keyed request run at most once, over all daemons.

    :param daemon: name of this start of the daemon, unique for ever.
    :param stores: the platform.
    :param now: the clock.
    :param waiting: how to wait.
    :param chance: spreads the times to come back.
    :param promises: counts the invariants.
    :param rate: transactions a second that this daemon may make.
    """

    def __init__(
        self,
        daemon: str,
        stores: Stores,
        now: clock.Clock,
        waiting: waits.Waiting,
        chance: random.Random,
        promises: invariant.Invariants,
        rate: float,
    ) -> None:
        self._daemon = daemon
        self._table = stores.table
        self._vault = vault.Vault(stores.objects)
        self._clock = now
        self._waiting = waiting
        self._chance = chance
        self._promises = promises
        self.writer = writers.Writer(daemon, rate, now.now(), promises)
        self._numbers = itertools.count(1)
        self._ticket_by_attempt: dict[str, waits.Ticket] = {}
        self._dispatched: set[str] = set()

    def begin(
        self, call: calls.Call
    ) -> attempts.Run | replay.Replay | refusal.Refusal:
        """Claim the key of a request before it is dispatched.

        :param call: the request.
        :return: leave to dispatch it once, the stored answer, or a
            refusal, which says truly whether the request was run.
        """
        pending = self.claim(call)
        if isinstance(pending, refusal.Refusal):
            return pending
        end = pending.ticket.wait(min(call.left, PATIENCE))
        return self.claimed(pending, end)

    def claim(self, call: calls.Call) -> Pending | refusal.Refusal:
        """Let a claim wait for its batch; the first half of `begin`.

        :param call: the request.
        """
        refused = self._refused(call)
        if refused:
            return refused
        record = records.Record(
            call.digest,
            f"{self._daemon}.{next(self._numbers)}",
            state.State.PENDING,
            self._clock.wall() + call.left + GRACE,
        )
        ticket = self._waiting.ticket()
        self._ticket_by_attempt[record.attempt] = ticket
        self.writer.submit(
            jobs.claim(records.place(call.team, call.key), record)
        )
        self._waiting.wake()
        return Pending(call, record, ticket)

    def claimed(
        self, pending: Pending, end: settled.Settled | missing.Missing
    ) -> attempts.Run | replay.Replay | refusal.Refusal:
        """Decide by the end of a claim; the second half of `begin`.

        :param pending: the claim.
        :param end: what its ticket gave, or why it gave nothing.
        """
        attempt = pending.record.attempt
        self._ticket_by_attempt.pop(attempt, None)
        if missing.is_missing(end):
            self.writer.withdraw(attempt)
            self._waiting.wake()
            return self._not_recorded(attempt, end)
        if isinstance(end.end, settled.Failed):
            return self._not_recorded(attempt, end.end.reason)
        if isinstance(end.end, settled.Taken):
            return self._found(pending.call, end.end.record)
        return self._run(pending, end.end)

    def end(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> answers.Answer | refusal.Refusal:
        """Record how a dispatch ended, without waiting for the platform.

        The row follows as soon as the platform takes it; until then others
        say "in progress" or "unknown", which is true.

        :param attempt: from `begin`.
        :param outcome: what was seen of the service.
        :return: what the caller gets.
        """
        self._promises.check(
            _ONE_END, attempt.attempt in self._dispatched, attempt.attempt
        )
        self._dispatched.discard(attempt.attempt)
        if outcome.kind is outcomes.OutcomeKind.NOT_RUN:
            self._promises.check(_PROOF, outcome.event in _PROVEN)
            self._submit(
                jobs.release(attempt.place, attempt.attempt, attempt.version)
            )
        elif _large(outcome):
            self._waiting.start(lambda: self._finish(attempt, outcome))
        else:
            self._finish(attempt, outcome)
        return said.to_caller(outcome)

    def cycle(self) -> bool:
        """Commit one batch, if it is time; tell whether one went."""
        batch = self.writer.take(self._clock.now(), self._clock.wall())
        if batch is None:
            return False
        result = self._table.commit(batches.transaction(batch))
        self.settle(batch, result)
        return True

    def settle(self, batch: batches.Batch, result: object) -> None:
        """Tell the ends that the platform's answer gives.

        :param batch: as it was sent.
        :param result: the answer.
        """
        ends = self.writer.settle(batch, result, self._clock.now())
        for end in ends:
            ticket = self._ticket_by_attempt.pop(end.job.attempt, None)
            if ticket:
                ticket.give(end)

    def _refused(self, call: calls.Call) -> refusal.Refusal | None:
        if not 0 < len(call.key) <= LONGEST_KEY:
            return said.bad_key(LONGEST_KEY)
        now = self._clock.now()
        closed = self.writer.closed_for(now)
        if closed or len(self.writer) >= MOST_WAITING:
            return said.not_recorded(
                "the platform's table does not answer", self._back(closed)
            )
        return None

    def _not_recorded(
        self, attempt: str, why: missing.Missing
    ) -> refusal.Refusal:
        self._promises.check(_UNUSED, attempt not in self._dispatched, attempt)
        closed = self.writer.closed_for(self._clock.now())
        return said.not_recorded(why.reason, self._back(closed))

    def _back(self, closed: clock.Ms) -> clock.Ms:
        # Spread over as long again: callers refused in one moment would
        # otherwise come back in one moment.
        soonest = max(closed, clock.SECOND)
        return soonest + self._chance.randrange(soonest)

    def _found(
        self, call: calls.Call, found: records.Record
    ) -> replay.Replay | refusal.Refusal:
        decided = decision.decide(found, call.digest, self._clock.wall())
        if isinstance(decided, refusal.Refusal):
            return decided
        answer = self._vault.load(decided)
        if isinstance(answer, missing.Unavailable):
            return said.body_unavailable(self._back(0))
        if missing.is_missing(answer):
            return decision.lost(decided.status)
        return replay.Replay(answer)

    def _run(self, pending: Pending, owned: settled.Owned) -> attempts.Run:
        call, record, _ = pending
        self._promises.check(
            _ONE_END, record.attempt not in self._dispatched, record.attempt
        )
        self._dispatched.add(record.attempt)
        return attempts.Run(
            attempts.Attempt(
                record.attempt,
                records.place(call.team, call.key),
                call.digest,
                owned.version,
                record.until,
            )
        )

    def _finish(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> None:
        kept: keeping.Kept | None = None
        if outcome.answer and outcome.kind is outcomes.OutcomeKind.DONE:
            name = f"once/{attempt.attempt}"
            kept = self._vault.keep(outcome.answer, name)
        now = state.State.DONE if kept else state.State.UNKNOWN
        record = records.Record(
            attempt.digest, attempt.attempt, now, attempt.until, kept
        )
        self._submit(
            jobs.Job(
                jobs.JobKind.FINISH,
                attempt.place,
                attempt.attempt,
                record,
                attempt.version,
            )
        )

    def _submit(self, job: jobs.Job) -> None:
        self.writer.submit(job)
        self._waiting.wake()


def _large(outcome: outcomes.Outcome) -> bool:
    body = outcome.answer.body if outcome.answer else b""
    return len(body) > vault.MOST_IN_ROW
