"""Steps for daemons that lend each other slots of an upstream."""

import random

import behave

from citronvalve.daemon import policysync
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.peers import codec
from citronvalve.peers import loankey
from citronvalve.peers import peer as peers
from citronvalve.peers import peersettings
from tests.policy import harness

_TICK: clock.Ms = 50
_SETTLING_TIME: clock.Ms = 10_000
_SLOTS = 4


class _Daemon:
    """A dispatcher and a peer, connected as in a daemon."""

    def __init__(self, name, seeds, now):
        self.name = name
        self.harness = harness.Harness(("a0",))
        self.peer = peers.Peer(
            peersettings.PeerSettings(name, "a", name, seeds),
            now,
            random.Random(name),
            invariant.Invariants(),
        )
        self._sharing = policysync.PolicySync(
            self.peer, self.harness.dispatcher, "a"
        )

    def step(self, now):
        """Do what is due; return the messages to send."""
        self.harness.now = now
        self.harness.report("a0")
        self._sharing.step(now)
        self.harness.tick()
        return self.peer.core.tick()

    @property
    def upstream(self):
        return self.harness.dispatcher.fleet.candidate_by_name["a0"]


class _Fleet:
    """Daemons whose messages are delivered immediately."""

    def __init__(self, count):
        self.clock = manualclock.ManualClock(1_000_000)
        names = [f"daemon-{n}" for n in range(count)]
        self.daemon_by_name = {
            name: _Daemon(name, tuple(set(names) - {name}), self.clock)
            for name in names
        }
        self.max_used = 0
        self.run(_SETTLING_TIME)

    def run(self, span):
        for _ in range(0, span, _TICK):
            self.clock.advance(_TICK)
            for daemon in self.daemon_by_name.values():
                self._deliver(daemon, daemon.step(self.clock.now()))
            self.max_used = max(self.max_used, self._used())

    def _used(self):
        return sum(d.upstream.allowance for d in self.daemon_by_name.values())

    def _deliver(self, sender, messages):
        for one in messages:
            receiver = self.daemon_by_name[one.address]
            received = codec.ReceivedMessage(
                sender.peer.core.sender, one.message
            )
            self._deliver(receiver, receiver.peer.core.handle(received))


@behave.given("{count:d} daemons that share an upstream of 4 slots")
def step_fleet(context, count):
    context.fleet = _Fleet(count)
    allowed = [
        d.upstream.allowance for d in context.fleet.daemon_by_name.values()
    ]
    assert all(allowed) and sum(allowed) == _SLOTS, allowed
    context.fleet.max_used = 0


@behave.when("its service times jump for a daemon that is not its coordinator")
def step_jump(context):
    daemons = context.fleet.daemon_by_name
    key = loankey.LoanKey(loankey.LoanKind.COLD, "a0", "1").lender_key
    coordinator = daemons["daemon-0"].peer.coordinator_of(key)
    context.cold = next(d for n, d in daemons.items() if n != coordinator)
    context.cold.upstream.ramp.mark_cold(context.fleet.clock.now())


@behave.then("within {seconds:d} s that daemon may use the upstream")
def step_may_use(context, seconds):
    context.fleet.run(seconds * clock.SECOND)
    assert context.cold.upstream.allowance, context.cold.name


@behave.then("all daemons together never use more than {slots:d} of its slots")
def step_most(context, slots):
    assert context.fleet.max_used <= slots, context.fleet.max_used
