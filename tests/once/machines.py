"""State machines for requests that run at most once."""

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.once import batch
from standins import faults
from tests.once import world as worlds

_KEYS = strategies.sampled_from(["k1", "k2"])
_BODIES = strategies.sampled_from([b"bag 7", b"bag 7", b"bag 8"])
_WHO = strategies.integers(0, 2)
_FAR = strategies.booleans()
_SERVICE_FAULTS = [
    "",
    "unreachable",
    "refuses",
    "crashes before",
    "crashes after",
    "silent after",
    "lost by a balancer",
]


class RecordMachine(stateful.RuleBasedStateMachine):
    """Three daemons, two keys, and everything that can go wrong."""

    CHECKS = invariant.Invariants()

    def __init__(self):
        super().__init__()
        self.world = worlds.World(self.CHECKS)
        self.daemons = [self.world.daemon() for _ in range(3)]
        self.requests = []
        self.late = []

    @stateful.rule(who=_WHO, key=_KEYS, body=_BODIES, far=_FAR)
    def asks(self, who, key, body, far):
        """Send a request, for the first time or again."""
        request = worlds.Request(self.world, self.daemons[who], key, body)
        request.claim()
        if request.pending and far:
            request.daemon.work()
            request.claimed()
        if not request.told:
            self.requests.append(request)

    @stateful.rule(who=_WHO)
    def takes(self, who):
        """Put a batch together."""
        self.daemons[who].take()

    @stateful.rule(who=_WHO)
    def commits(self, who):
        """Send the batch."""
        self.daemons[who].commit()

    @stateful.rule(who=_WHO)
    def settles(self, who):
        """Take the answer."""
        self.daemons[who].settle()

    @stateful.rule(who=_WHO)
    def works(self, who):
        """Settle all that can be settled."""
        self.daemons[who].work()

    @stateful.rule(who=_WHO)
    def commits_late(self, who):
        """Give up a commit that takes effect some time later."""
        daemon = self.daemons[who]
        if daemon.batch and daemon.result is None:
            self.late.append(batch.transaction(daemon.batch))
            self.world.table.faults.order(faults.Fault.DOWN, 1)
            daemon.commit()
            daemon.result = missing.AnswerLost("timed out")

    @stateful.rule()
    def arrives(self):
        """Let the oldest late commit take effect."""
        if self.late:
            self.world.table.commit(self.late.pop(0))

    @stateful.rule(index=strategies.integers(0, 5))
    def goes_on(self, index):
        """Let a caller take what there is, perhaps out of time."""
        if not self.requests:
            return
        request = self.requests[index % len(self.requests)]
        if request.attempt:
            self.requests.remove(request)
            request.serve()
            request.end()
        elif request.pending:
            request.claimed()
            if request.told:
                self.requests.remove(request)

    @stateful.rule(index=strategies.integers(0, 5), key=_KEYS)
    def serves_and_dies(self, index, key):
        """Kill a daemon between the service's run and the record."""
        running = [r for r in self.requests if r.attempt]
        if running:
            request = running[index % len(running)]
            request.serve()
            self.kills(self.daemons.index(request.daemon))

    @stateful.rule(who=_WHO)
    def kills(self, who):
        """Kill a daemon; its callers get nothing."""
        dead = self.daemons[who]
        self.requests = [r for r in self.requests if r.daemon is not dead]
        self.daemons[who] = self.world.daemon()

    @stateful.rule(span=strategies.sampled_from([1, 150, 2_000, 30_000]))
    def time_passes(self, span):
        """Move the clock on."""
        self.world.clock.advance(span)

    @stateful.rule(
        fault=strategies.sampled_from(
            [faults.Fault.DOWN, faults.Fault.LOSE_ANSWER]
        ),
        calls=strategies.integers(0, 3),
    )
    def platform_fails(self, fault, calls):
        """Let the platform misbehave."""
        self.world.table.faults.order(fault, calls)

    @stateful.rule(fault=strategies.sampled_from(_SERVICE_FAULTS))
    def service_fails(self, fault):
        """Let the service misbehave, or be well."""
        self.world.service.fault = fault

    @stateful.invariant()
    def runs_at_most_once(self):
        """Read the service's log."""
        self.world.check_runs()

    def teardown(self):
        """Every key that is asked for in the end is answered truly."""
        self.world.service.fault = ""
        for fault in (faults.Fault.DOWN, faults.Fault.LOSE_ANSWER):
            self.world.table.faults.order(fault, 0)
        self.world.clock.advance(60_000)
        for key in ("k1", "k2"):
            self.world.ask(self.world.daemon(), key)
            self.world.check_runs()


MACHINES = (RecordMachine,)
