"""Faults that strike a fleet of peers: loss, cuts, restarts, stops."""

import random

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import listener
from citronvalve.peers import loankey
from citronvalve.peers import tabledelta
from standins import memorylinks

#: Long enough to detect a death, settle and lend again.
_CALM = 30 * clock.SECOND

#: Shorter and longer than a tick, a loan, a death and settling.
_SPANS = strategies.sampled_from([1, 300, 2_500, 5_000, 9_000, 20_000])

#: Faults that pile up before they may end all at once.
_FAULTS_BEFORE_CALM = 6

COLD = loankey.LoanKey(loankey.LoanKind.COLD, "engine-1", "start-1")
TEAM = loankey.LoanKey(loankey.LoanKind.TEAM, "ledger/coder/d0")
LIMIT_BY_KEY = {COLD: 1, TEAM: 6}


class Applied(listener.Listener):
    """Checks that the versions a daemon is given only rise."""

    def __init__(self, checks: invariant.Invariants) -> None:
        self._checks = checks
        self.version = 0

    def on_table(self, delta: tabledelta.TableDelta) -> None:
        self._checks.check(
            "a daemon is given rising versions",
            delta.version > self.version,
            f"{self.version} {delta.version}",
        )
        self.version = delta.version


class Fleet(stateful.RuleBasedStateMachine):
    """Faults that strike any fleet; subclasses add what it does."""

    CHECKS = invariant.Invariants()
    DATACENTRES = 1
    MEMBERS = 4

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.links = memorylinks.Links(self.rng, delay=40)
        self.names = [
            f"d{d}-{m}"
            for d in range(self.DATACENTRES)
            for m in range(self.MEMBERS)
        ]
        self.links.after_each = self.look
        self.faults = 0
        self.was_cut = False
        for name in self.names:
            self.start(name)
        self.links.run(_CALM)

    def start(self, name):
        seeds = tuple(n for n in self.names if n.endswith("-0"))
        self.links.start(
            name,
            name.partition("-")[0],
            seeds,
            self.CHECKS,
            Applied(self.CHECKS),
            expected=self.MEMBERS,
        )

    def core(self, name):
        return self.links.node_by_name[name].core

    def living(self):
        return sorted(self.links.node_by_name)

    def look(self):
        """Look at the whole fleet after each event."""

    def strike(self, span):
        """Let a fault work for a while before the next one comes."""
        self.faults += 1
        self.links.run(span)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.05, 0.5]),
        repeat=strategies.sampled_from([0.0, 0.5]),
        delay=strategies.sampled_from([2, 400, 3_000]),
        span=_SPANS,
    )
    def spoil(self, loss, repeat, delay, span):
        self.links.loss = loss
        self.links.repeat = repeat
        self.links.delay = delay
        self.strike(span)

    @stateful.rule(bits=strategies.integers(1, 2**12), span=_SPANS)
    def cut(self, bits, span):
        these = {n for i, n in enumerate(self.names) if bits >> i & 1}
        self.links.cut_between(these, set(self.names) - these)
        self.was_cut = True
        self.strike(span)

    @stateful.rule(span=_SPANS)
    def heal(self, span):
        self.links.heal()
        self.strike(span)

    @stateful.rule(which=strategies.integers(0, 99), span=_SPANS)
    def restart(self, which, span):
        name = self.names[which % len(self.names)]
        if name in self.links.node_by_name:
            self.links.kill(name)
        else:
            self.start(name)
        self.strike(span)

    @stateful.rule(which=strategies.integers(0, 99), span=_SPANS)
    def pause(self, which, span):
        name = self.names[which % len(self.names)]
        if name in self.links.stopped:
            self.links.wake(name)
        elif name in self.links.node_by_name:
            self.links.stop(name)
        self.strike(span)

    @stateful.precondition(lambda self: self.faults >= _FAULTS_BEFORE_CALM)
    @stateful.rule()
    def calm(self):
        """Let all faults end: everyone finds everyone again."""
        self.faults = 0
        self.links.heal()
        self.spoil(0.0, 0.0, 2, 1)
        for name in self.names:
            if name in self.links.stopped:
                self.links.wake(name)
            if name not in self.links.node_by_name:
                self.start(name)
        self.links.run(_CALM)
        self.was_cut = False
        for name in self.names:
            self.check_calm(name)

    def check_calm(self, name):
        state = self.core(name).state
        mates = {n for n in self.names if n.split("-")[0] == name[:2]}
        self.CHECKS.check(
            "after the faults everyone sees everyone and acts",
            state.membership.alive() == mates and state.authority.may_act(),
            f"{name} sees {sorted(state.membership.alive())}",
        )
