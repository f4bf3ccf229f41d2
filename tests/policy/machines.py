"""A state machine that sends a dispatcher events in random order."""

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import refusal
from citronvalve.policy import crashfence
from citronvalve.policy import outcome
from tests.policy import harness

_NAMES = ("a0", "a1", "b0")
_UPSTREAM = strategies.sampled_from(_NAMES)

INVARIANTS = (
    "work goes only to upstreams that are in service and whole",
    "a cold upstream holds no more than was lent",
    "accepted work ends exactly once",
    "retries stay within their share of first tries",
)


class Deciding(stateful.RuleBasedStateMachine):
    """Checks that each accepted request ends once and bounds are kept."""

    CHECKS = invariant.Invariants()

    def __init__(self):
        super().__init__()
        self.harness = harness.Harness(_NAMES, self.CHECKS)
        self.start_ids = dict.fromkeys(_NAMES, 1)
        self.open = set()
        for name in _NAMES:
            self.harness.report(name)

    @stateful.rule(
        repeatable=strategies.booleans(),
        time_left=strategies.sampled_from((1, 300, 2_000, 30_000)),
        fingerprint=strategies.sampled_from(("", "p", "q")),
        team=strategies.sampled_from(("t1", "t2")),
    )
    def submit(self, repeatable, time_left, fingerprint, team):
        verdict = self.harness.submit(repeatable, time_left, fingerprint, team)
        if not isinstance(verdict, refusal.Refusal):
            self.open.add(f"r{self.harness.count}")

    @stateful.precondition(lambda self: self.harness.starts)
    @stateful.rule(
        data=strategies.data(),
        how=strategies.sampled_from(outcome.Outcome),
        wait=strategies.sampled_from((0, 1, 100)),
    )
    def end(self, data, how, wait):
        self.harness.now += wait
        tickets = sorted(self.harness.starts)
        ticket = data.draw(strategies.sampled_from(tickets))
        request = self.harness.starts[ticket].work.request
        self.harness.end(ticket, how.value)
        if how not in outcome.UNANSWERED:
            self.open.discard(request)

    @stateful.rule(
        name=_UPSTREAM,
        restarts=strategies.booleans(),
        capacity=strategies.integers(0, 4),
        running=strategies.integers(0, 8),
        missing=strategies.sampled_from(((), (), (), ("vm-2",))),
    )
    def report(self, name, restarts, capacity, running, missing):
        self.start_ids[name] += restarts
        start_id = str(self.start_ids[name])
        self.harness.report(name, start_id, capacity, running, missing)

    @stateful.rule(name=_UPSTREAM, slots=strategies.integers(0, 3))
    def lend(self, name, slots):
        expires_at = self.harness.now + 1_000
        self.harness.dispatcher.accept_loan(
            name, slots, expires_at, self.harness.now
        )

    @stateful.rule(
        datacentre=strategies.sampled_from(harness.DATACENTRES),
        state=strategies.sampled_from(declared.ServiceState),
    )
    def declare(self, datacentre, state):
        self.harness.set_datacentre_state(datacentre, state)

    @stateful.rule(name=_UPSTREAM, age=strategies.integers(0, 3_000))
    def learn(self, name, age):
        loss = crashfence.Loss("p", name, age)
        self.harness.dispatcher.record_remote_loss(loss, self.harness.now)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=strategies.data())
    def leave(self, data):
        request = data.draw(strategies.sampled_from(sorted(self.open)))
        self.harness.apply(
            self.harness.dispatcher.cancel(request, self.harness.now)
        )
        self.open.discard(request)

    @stateful.rule(span=strategies.sampled_from((1, 50, 500, 6_000)))
    def tick(self, span):
        self.harness.tick(span)

    @stateful.invariant()
    def cold_upstreams_hold_what_was_lent(self):
        # Independent of the dispatcher: the started attempts are compared
        # with the declared slots.
        for name in _NAMES:
            starts = self.harness.starts.values()
            held = sum(start.upstream == name for start in starts)
            assert held <= 4, (name, held)

    def teardown(self):
        for ticket in list(self.harness.starts):
            self.harness.end(ticket, "done")
        self.harness.tick(60_000)
        while self.harness.starts:
            for ticket in list(self.harness.starts):
                self.harness.end(ticket, "done")
            self.harness.tick(60_000)
        assert not self.harness.dispatcher.open_request_count()


MACHINES = (Deciding,)
