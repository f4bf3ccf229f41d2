"""Records non-idempotent requests so that each runs at most once."""

import itertools
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.model import refusal
from citronvalve.once import attempt as attempts
from citronvalve.once import batch as batches
from citronvalve.once import bodystore
from citronvalve.once import change as changes
from citronvalve.once import changeresult
from citronvalve.once import decision
from citronvalve.once import keyedrequest as keyedrequests
from citronvalve.once import outcome as outcomes
from citronvalve.once import record as records
from citronvalve.once import replay
from citronvalve.once import reply
from citronvalve.once import response as responses
from citronvalve.once import scheduler as schedulers
from citronvalve.once import state
from citronvalve.once import storedresponse as storedresponses
from citronvalve.once import writer as writers
from citronvalve.storage import objectstore
from citronvalve.storage import tableservice

#: In characters; common clients send a UUID of 36.
MAX_KEY_LENGTH = 255

#: Longest wait of a caller for its claim: one platform call that times out
#: after 2 s and a second one that resolves it.  A store that takes longer
#: is not just slow, and the caller still has time to try elsewhere.
CLAIM_TIMEOUT: clock.Ms = 4_000

#: Time after the deadline of a request until its pending row counts as
#: abandoned.  Writing the outcome of a request that ended at its deadline
#: takes a few batches.
PENDING_GRACE: clock.Ms = 10_000

#: Most changes queued at once.  An outage leaves one for each request in
#: progress; beyond this limit the daemon rejects new requests.
MAX_QUEUED_CHANGES = 20_000

_ONE_END = "an attempt is dispatched once and ends once"
_PROOF = "not run is said only of what was never sent or was refused"
_UNUSED = "a claim that is given up was never dispatched"
_PROVEN = {outcomes.Event.NEVER_SENT, outcomes.Event.REFUSED}


class Stores(NamedTuple):
    """The stores of the platform that the recorder uses."""

    table: tableservice.TableService
    objects: objectstore.ObjectStore


class PendingClaim(NamedTuple):
    """A claim that is queued or in flight."""

    request: keyedrequests.KeyedRequest
    record: records.Record
    future: schedulers.Future


class Recorder:
    """Ensures that a keyed request runs at most once over all daemons.

    :param daemon: name of this start of the daemon, never reused.
    :param stores: stores of the platform.
    :param time_source: the clock.
    :param scheduler: blocks callers and starts tasks.
    :param rng: adds jitter to retry delays.
    :param invariants: checks and counts the invariants.
    :param rate: transactions a second that this daemon may make.
    """

    def __init__(
        self,
        daemon: str,
        stores: Stores,
        time_source: clock.Clock,
        scheduler: schedulers.Scheduler,
        rng: random.Random,
        invariants: invariant.Invariants,
        rate: float,
    ) -> None:
        self._daemon = daemon
        self._table = stores.table
        self._bodies = bodystore.BodyStore(stores.objects)
        self._clock = time_source
        self._scheduler = scheduler
        self._rng = rng
        self._invariants = invariants
        self.writer = writers.Writer(
            daemon, rate, time_source.now(), invariants
        )
        self._numbers = itertools.count(1)
        self._future_by_attempt: dict[str, schedulers.Future] = {}
        self._dispatched: set[str] = set()

    def begin(
        self, request: keyedrequests.KeyedRequest
    ) -> attempts.Permit | replay.Replay | refusal.Refusal:
        """Claim the key of a request before it is dispatched.

        :param request: the request.
        :return: permission to dispatch it once, the stored response, or a
            refusal that states whether the request was run.
        """
        pending = self.submit_claim(request)
        if isinstance(pending, refusal.Refusal):
            return pending
        result = pending.future.wait(min(request.time_left, CLAIM_TIMEOUT))
        return self.complete_claim(pending, result)

    def submit_claim(
        self, request: keyedrequests.KeyedRequest
    ) -> PendingClaim | refusal.Refusal:
        """Queue the claim of a request; the first half of `begin`.

        :param request: the request.
        """
        rejection = self._rejection(request)
        if rejection:
            return rejection
        record = records.Record(
            request.digest,
            f"{self._daemon}.{next(self._numbers)}",
            state.State.PENDING,
            self._clock.wall() + request.time_left + PENDING_GRACE,
        )
        future = self._scheduler.future()
        self._future_by_attempt[record.attempt] = future
        self.writer.submit(
            changes.claim(records.row_key(request.team, request.key), record)
        )
        self._scheduler.wake()
        return PendingClaim(request, record, future)

    def complete_claim(
        self,
        pending: PendingClaim,
        result: changeresult.ChangeResult | missing.Missing,
    ) -> attempts.Permit | replay.Replay | refusal.Refusal:
        """Decide by the result of a claim; the second half of `begin`.

        :param pending: the claim.
        :param result: result of its future, or why there is none.
        """
        attempt_id = pending.record.attempt
        self._future_by_attempt.pop(attempt_id, None)
        if missing.is_missing(result):
            self.writer.withdraw(attempt_id)
            self._scheduler.wake()
            return self._claim_failed(attempt_id, result)
        if isinstance(result.outcome, changeresult.ClaimFailed):
            return self._claim_failed(attempt_id, result.outcome.reason)
        if isinstance(result.outcome, changeresult.ClaimedByOther):
            return self._resolve_repeat(pending.request, result.outcome.record)
        return self._permit(pending, result.outcome)

    def record_outcome(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> responses.Response | refusal.Refusal:
        """Record the outcome of a dispatch, without waiting for the write.

        Until the row is written, other daemons reply "in progress" or
        "unknown", which is correct.

        :param attempt: attempt returned by `begin`.
        :param outcome: outcome of the dispatch.
        :return: the reply for the caller.
        """
        self._invariants.check(
            _ONE_END,
            attempt.attempt_id in self._dispatched,
            attempt.attempt_id,
        )
        self._dispatched.discard(attempt.attempt_id)
        if outcome.kind is outcomes.OutcomeKind.NOT_RUN:
            self._invariants.check(_PROOF, outcome.event in _PROVEN)
            self._submit(
                changes.release(
                    attempt.row_key, attempt.attempt_id, attempt.version
                )
            )
        elif _has_large_body(outcome):
            self._scheduler.spawn(
                lambda: self._submit_outcome(attempt, outcome)
            )
        else:
            self._submit_outcome(attempt, outcome)
        return reply.for_outcome(outcome)

    def commit_batch(self) -> bool:
        """Commit one batch if one is due; return whether it did."""
        batch = self.writer.next_batch(self._clock.now(), self._clock.wall())
        if batch is None:
            return False
        result = self._table.commit(batches.transaction(batch))
        self.settle(batch, result)
        return True

    def settle(self, batch: batches.Batch, result: object) -> None:
        """Apply the result of a commit and wake the waiting callers.

        :param batch: the committed batch.
        :param result: what :meth:`TableService.commit` returned.
        """
        change_results = self.writer.settle(batch, result, self._clock.now())
        for change_result in change_results:
            future = self._future_by_attempt.pop(
                change_result.change.attempt_id, None
            )
            if future:
                future.set_result(change_result)

    def _rejection(
        self, request: keyedrequests.KeyedRequest
    ) -> refusal.Refusal | None:
        if not 0 < len(request.key) <= MAX_KEY_LENGTH:
            return reply.invalid_key(MAX_KEY_LENGTH)
        now = self._clock.now()
        backoff = self.writer.backoff_left(now)
        if backoff or len(self.writer) >= MAX_QUEUED_CHANGES:
            return reply.claim_failed(
                "the table service of the platform is not available",
                self._retry_after(backoff),
            )
        return None

    def _claim_failed(
        self, attempt_id: str, why: missing.Missing
    ) -> refusal.Refusal:
        self._invariants.check(
            _UNUSED, attempt_id not in self._dispatched, attempt_id
        )
        backoff = self.writer.backoff_left(self._clock.now())
        return reply.claim_failed(why.reason, self._retry_after(backoff))

    def _retry_after(self, backoff: clock.Ms) -> clock.Ms:
        # The jitter keeps callers that were rejected at the same time from
        # retrying at the same time.
        soonest = max(backoff, clock.SECOND)
        return soonest + self._rng.randrange(soonest)

    def _resolve_repeat(
        self, request: keyedrequests.KeyedRequest, found: records.Record
    ) -> replay.Replay | refusal.Refusal:
        decided = decision.decide(found, request.digest, self._clock.wall())
        if isinstance(decided, refusal.Refusal):
            return decided
        response = self._bodies.load(decided)
        if isinstance(response, missing.Unavailable):
            return reply.body_unavailable(self._retry_after(0))
        if missing.is_missing(response):
            return decision.body_lost(decided.status)
        return replay.Replay(response)

    def _permit(
        self, pending: PendingClaim, claimed: changeresult.Claimed
    ) -> attempts.Permit:
        request, record, _ = pending
        self._invariants.check(
            _ONE_END, record.attempt not in self._dispatched, record.attempt
        )
        self._dispatched.add(record.attempt)
        return attempts.Permit(
            attempts.Attempt(
                record.attempt,
                records.row_key(request.team, request.key),
                request.digest,
                claimed.version,
                record.until,
            )
        )

    def _submit_outcome(
        self, attempt: attempts.Attempt, outcome: outcomes.Outcome
    ) -> None:
        stored: storedresponses.StoredResponse | None = None
        if outcome.response and outcome.kind is outcomes.OutcomeKind.DONE:
            name = f"once/{attempt.attempt_id}"
            stored = self._bodies.store(outcome.response, name)
        new_state = state.State.DONE if stored else state.State.UNKNOWN
        record = records.Record(
            attempt.digest,
            attempt.attempt_id,
            new_state,
            attempt.expires_at,
            stored,
        )
        self._submit(
            changes.Change(
                changes.ChangeKind.FINISH,
                attempt.row_key,
                attempt.attempt_id,
                record,
                attempt.version,
            )
        )

    def _submit(self, change: changes.Change) -> None:
        self.writer.submit(change)
        self._scheduler.wake()


def _has_large_body(outcome: outcomes.Outcome) -> bool:
    body = outcome.response.body if outcome.response else b""
    return len(body) > bodystore.MAX_INLINE_BYTES
