"""Events in any order: every accepted request ends once, bounds hold."""

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import refusal
from citronvalve.policy import crashfence
from citronvalve.policy import outcome
from tests.policy import small

_NAMES = ("a0", "a1", "b0")
_UPSTREAM = strategies.sampled_from(_NAMES)

PROMISES = (
    "work goes only to upstreams that are in service and whole",
    "a cold upstream holds no more than was lent",
    "accepted work ends exactly once",
    "retries stay within their share of first tries",
)


class Deciding(stateful.RuleBasedStateMachine):
    """Drives one dispatcher as a daemon would, and loses nothing."""

    CHECKS = invariant.Invariants()

    def __init__(self):
        super().__init__()
        self.small = small.Small(_NAMES, self.CHECKS)
        self.start_ids = dict.fromkeys(_NAMES, 1)
        self.open = set()
        for name in _NAMES:
            self.small.report(name)

    @stateful.rule(
        repeatable=strategies.booleans(),
        within=strategies.sampled_from((1, 300, 2_000, 30_000)),
        print_=strategies.sampled_from(("", "p", "q")),
        team=strategies.sampled_from(("t1", "t2")),
    )
    def submit(self, repeatable, within, print_, team):
        verdict = self.small.submit(repeatable, within, print_, team)
        if not isinstance(verdict, refusal.Refusal):
            self.open.add(f"r{self.small.count}")

    @stateful.precondition(lambda self: self.small.starts)
    @stateful.rule(
        data=strategies.data(),
        how=strategies.sampled_from(outcome.Outcome),
        wait=strategies.sampled_from((0, 1, 100)),
    )
    def end(self, data, how, wait):
        self.small.now += wait
        tickets = sorted(self.small.starts)
        ticket = data.draw(strategies.sampled_from(tickets))
        request = self.small.starts[ticket].work.request
        self.small.end(ticket, how.value)
        if how not in outcome.UNANSWERED:
            self.open.discard(request)

    @stateful.rule(
        name=_UPSTREAM,
        restarts=strategies.booleans(),
        bears=strategies.integers(0, 4),
        held=strategies.integers(0, 8),
        missing=strategies.sampled_from(((), (), (), ("vm-2",))),
    )
    def report(self, name, restarts, bears, held, missing):
        self.start_ids[name] += restarts
        start_id = str(self.start_ids[name])
        self.small.report(name, start_id, bears, held, missing)

    @stateful.rule(name=_UPSTREAM, slots=strategies.integers(0, 3))
    def lend(self, name, slots):
        until = self.small.now + 1_000
        self.small.dispatcher.accept_loan(name, slots, until, self.small.now)

    @stateful.rule(
        place=strategies.sampled_from(small.PLACES),
        service=strategies.sampled_from(declared.ServiceState),
    )
    def declare(self, place, service):
        self.small.state(place, service)

    @stateful.rule(name=_UPSTREAM, age=strategies.integers(0, 3_000))
    def learn(self, name, age):
        loss = crashfence.Loss("p", name, age)
        self.small.dispatcher.record_remote_loss(loss, self.small.now)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=strategies.data())
    def leave(self, data):
        request = data.draw(strategies.sampled_from(sorted(self.open)))
        self.small.take(self.small.dispatcher.cancel(request, self.small.now))
        self.open.discard(request)

    @stateful.rule(span=strategies.sampled_from((1, 50, 500, 6_000)))
    def tick(self, span):
        self.small.tick(span)

    @stateful.invariant()
    def cold_upstreams_hold_what_was_lent(self):
        # Seen from outside: what was started, against what was declared.
        for name in _NAMES:
            starts = self.small.starts.values()
            held = sum(start.upstream == name for start in starts)
            assert held <= 4, (name, held)

    def teardown(self):
        for ticket in list(self.small.starts):
            self.small.end(ticket, "done")
        self.small.tick(60_000)
        while self.small.starts:
            for ticket in list(self.small.starts):
                self.small.end(ticket, "done")
            self.small.tick(60_000)
        assert not self.small.dispatcher.open_request_count()


MACHINES = (Deciding,)
