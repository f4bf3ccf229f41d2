"""Steps about what daemons lend each other of an upstream."""

import random

import behave

from citronvalve.daemon import sharing
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.peers import codec
from citronvalve.peers import loankey
from citronvalve.peers import peer as peers
from citronvalve.peers import peersettings
from tests.policy import small

_TICK: clock.Ms = 50
_SETTLED: clock.Ms = 10_000
_SLOTS = 4


class _Daemon:
    """A dispatcher and a peer, brought together as a daemon does."""

    def __init__(self, name, seeds, now):
        self.name = name
        self.small = small.Small(("a0",))
        self.peer = peers.Peer(
            peersettings.PeerSettings(name, "a", name, seeds),
            now,
            random.Random(name),
            invariant.Invariants(),
        )
        self._sharing = sharing.Sharing(self.peer, self.small.dispatcher, "a")

    def step(self, now):
        """Do what is due; return what goes out."""
        self.small.now = now
        self.small.report("a0")
        self._sharing.step(now)
        self.small.tick()
        return self.peer.core.tick()

    @property
    def upstream(self):
        return self.small.dispatcher.fleet.candidate_by_name["a0"]


class _Fleet:
    """Daemons whose messages arrive at once."""

    def __init__(self, count):
        self.clock = manualclock.ManualClock(1_000_000)
        names = [f"daemon-{n}" for n in range(count)]
        self.daemon_by_name = {
            name: _Daemon(name, tuple(set(names) - {name}), self.clock)
            for name in names
        }
        self.most = 0
        self.run(_SETTLED)

    def run(self, span):
        for _ in range(0, span, _TICK):
            self.clock.advance(_TICK)
            for daemon in self.daemon_by_name.values():
                self._carry(daemon, daemon.step(self.clock.now()))
            self.most = max(self.most, self._used())

    def _used(self):
        return sum(d.upstream.allowance for d in self.daemon_by_name.values())

    def _carry(self, sender, out):
        for one in out:
            there = self.daemon_by_name[one.address]
            got = codec.ReceivedMessage(sender.peer.core.sender, one.message)
            self._carry(there, there.peer.core.handle(got))


@behave.given("{count:d} daemons that share an upstream of 4 slots")
def step_fleet(context, count):
    context.fleet = _Fleet(count)
    allowed = [
        d.upstream.allowance for d in context.fleet.daemon_by_name.values()
    ]
    assert all(allowed) and sum(allowed) == _SLOTS, allowed
    context.fleet.most = 0


@behave.when("its service times jump for one that is not its keeper")
def step_jump(context):
    daemons = context.fleet.daemon_by_name
    key = loankey.LoanKey(loankey.LoanKind.COLD, "a0", "1").lender_key
    keeper = daemons["daemon-0"].peer.coordinator_of(key)
    context.cold = next(d for n, d in daemons.items() if n != keeper)
    context.cold.upstream.ramp.mark_cold(context.fleet.clock.now())


@behave.then("within {seconds:d} s that one may use the upstream")
def step_may_use(context, seconds):
    context.fleet.run(seconds * clock.SECOND)
    assert context.cold.upstream.allowance, context.cold.name


@behave.then("all together never use more than {slots:d} slots of it")
def step_most(context, slots):
    assert context.fleet.most <= slots, context.fleet.most
