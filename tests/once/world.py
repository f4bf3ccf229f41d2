"""A platform, a service with its own log, and daemons that can be killed."""

import collections
import random

from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.model import missing
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import attempt as attempts
from citronvalve.once import batch
from citronvalve.once import fingerprint
from citronvalve.once import keyedrequest as keyedrequests
from citronvalve.once import outcome
from citronvalve.once import recorder
from citronvalve.once import replay
from citronvalve.once import response as responses
from standins import memoryobjects
from standins import memorytable
from tests.once import manualscheduler

TEAM = "kanta"
DEADLINE = 1_000

#: Bytes that the service appends to each certificate.
BODY = b""


class Request:
    """A request of a caller and its progress at one daemon.

    Its steps run one at a time, so that the daemon can be killed between
    any two of them.
    """

    STEPS = (
        "claim",
        "take",
        "commit",
        "settle",
        "claimed",
        "serve",
        "end",
        "take",
        "commit",
        "settle",
    )

    def __init__(self, world, daemon, key="k1", body=b"bag 7"):
        self.world = world
        self.daemon = daemon
        self.key = key
        self.body = body
        self.digest = fingerprint.digest("POST", "/issue", body)
        self.told = None
        self.pending = None
        self.attempt = None
        self.outcome = None

    def claim(self):
        """Submit the claim of the key."""
        call = keyedrequests.KeyedRequest(
            TEAM, self.key, self.digest, DEADLINE
        )
        pending = self.daemon.recorder.submit_claim(call)
        if isinstance(pending, refusal.Refusal):
            self._receive(pending)
        else:
            self.pending = pending

    def claimed(self):
        """Complete the claim with the current result."""
        result = self.pending.future.wait(0)
        self._apply(self.daemon.recorder.complete_claim(self.pending, result))

    def serve(self):
        """Dispatch the request if it is permitted."""
        if self.attempt:
            self.outcome = self.world.service.run(self.key, self.digest)

    def end(self):
        """Record the outcome and reply to the caller."""
        if self.attempt:
            self._receive(
                self.daemon.recorder.record_outcome(self.attempt, self.outcome)
            )

    def _apply(self, result):
        if isinstance(result, attempts.Permit):
            self.attempt = result.attempt
        else:
            self._receive(result)

    def _receive(self, reply):
        self.told = reply
        self.world.check(self)

    def step(self, name):
        """Run a step by its name.

        :param name: one of `STEPS`.
        """
        own = getattr(self, name, None)
        (own or getattr(self.daemon, name))()


class Daemon:
    """One start of a daemon; it is killed by dropping the object."""

    def __init__(self, world, name):
        self.world = world
        self.recorder = recorder.Recorder(
            name,
            recorder.Stores(world.table, world.objects),
            world.clock,
            manualscheduler.ManualScheduler(),
            random.Random(name),
            world.invariants,
            rate=1_000.0,
        )
        self.batch = None
        self.result = None

    def take(self):
        """Take the next batch if one is due."""
        now = self.world.clock.now()
        if self.batch is None:
            self.batch = self.recorder.writer.next_batch(now, now)

    def commit(self):
        """Commit the batch."""
        if self.batch and self.result is None:
            sent = batch.transaction(self.batch)
            self.result = self.world.table.commit(sent)

    def settle(self):
        """Apply the result of the commit."""
        if self.batch and self.result is not None:
            taken, result = self.batch, self.result
            self.batch = self.result = None
            self.recorder.settle(taken, result)

    def work(self):
        """Commit and settle all queued changes."""
        for _ in range(20):
            self.take()
            self.commit()
            self.settle()
            self.world.clock.advance(2)


class Service:
    """Issues certificates; its log survives its crashes.

    :ivar runs: number of runs by key and digest.
    """

    def __init__(self):
        self.runs = collections.Counter()
        self.fault = ""

    def run(self, key, digest):
        """Run a request and return the outcome that the daemon observes."""
        if self.fault == "unreachable":
            return outcome.Outcome(outcome.Event.NEVER_SENT)
        if self.fault == "refuses":
            body = b'{"ran": "no"}'
            return outcome.from_response(
                responses.Response(503, "application/json", body)
            )
        if self.fault in ("crashes before", "silent before"):
            return outcome.Outcome(_EVENT_BY_FAULT[self.fault])
        self.runs[key, digest] += 1
        if self.fault in _EVENT_BY_FAULT:
            return outcome.Outcome(_EVENT_BY_FAULT[self.fault])
        if self.fault == "lost by a balancer":
            return outcome.from_response(
                responses.Response(502, "text/html", b"?")
            )
        body = f"certificate {self.runs.total()}".encode() + BODY
        return outcome.from_response(
            responses.Response(201, "text/plain", body)
        )


_EVENT_BY_FAULT = {
    "crashes before": outcome.Event.CUT,
    "crashes during": outcome.Event.CUT,
    "crashes after": outcome.Event.CUT,
    "silent before": outcome.Event.SILENT,
    "silent after": outcome.Event.SILENT,
}


class World:
    """The environment of the daemons, with checks of their replies."""

    def __init__(self, invariants=None):
        self.clock = manualclock.ManualClock()
        self.table = memorytable.MemoryTable()
        self.objects = memoryobjects.MemoryObjects()
        self.service = Service()
        self.invariants = invariants or invariant.Invariants()
        self._starts = 0

    def daemon(self):
        """Start a daemon."""
        self._starts += 1
        return Daemon(self, f"d{self._starts}")

    def ask(self, daemon, key="k1", body=b"bag 7"):
        """Run all steps of a request and return the reply."""
        request = Request(self, daemon, key, body)
        request.claim()
        if request.pending:
            daemon.work()
            request.claimed()
            request.serve()
            request.end()
            daemon.work()
        return request.told

    def check(self, request):
        """Check a reply against the log of the service."""
        reply = request.told
        runs = self.service.runs[request.key, request.digest]
        reported = getattr(reply, "ran", None)
        assert reported is not ran.Ran.NO or runs == 0, reply
        assert reported is not ran.Ran.YES or runs == 1, reply
        if isinstance(reply, responses.Response | replay.Replay):
            assert runs == 1, reply
        self.check_runs()

    def check_runs(self):
        """Check that no key ran twice, with the same or another body."""
        runs_by_key = collections.Counter()
        for (key, _), runs in self.service.runs.items():
            runs_by_key[key] += runs
        assert all(n <= 1 for n in runs_by_key.values()), runs_by_key


def name(reply):
    """Return the kind of a reply as one word."""
    if isinstance(reply, refusal.Refusal):
        return reply.kind.value
    if isinstance(reply, replay.Replay):
        return "replay"
    if isinstance(reply, responses.Response):
        return "answer"
    assert reply is None or missing.is_missing(reply), reply
    return "nothing"
