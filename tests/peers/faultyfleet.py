"""A fleet of peers under faults: loss, partitions, restarts, pauses."""

import random

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import listener
from citronvalve.peers import loankey
from citronvalve.peers import tabledelta
from standins import memorylinks

#: Long enough to mark a member dead, wait for the handover and lend again.
_RECOVERY_TIME = 30 * clock.SECOND

#: Durations of faults in ms, shorter and longer than a tick, a loan,
#: ``dead_after`` and the handover delay.
_DURATIONS = strategies.sampled_from([1, 300, 2_500, 5_000, 9_000, 20_000])

#: Minimum number of faults before all of them may end at once.
_FAULTS_BEFORE_CALM = 6

COLD = loankey.LoanKey(loankey.LoanKind.COLD, "engine-1", "start-1")
TEAM = loankey.LoanKey(loankey.LoanKind.TEAM, "ledger/coder/d0")
LIMIT_BY_KEY = {COLD: 1, TEAM: 6}


class VersionChecker(listener.Listener):
    """Checks that each table has a higher version than the one before."""

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
    """A fleet under faults; subclasses add rules for what it does.

    Hypothesis orders rules by name and derives the seed of a derandomized run
    from the subclass's source, so changes of either give other sequences.
    """

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
        self.links.after_each = self.check_after_event
        self.faults = 0
        self.was_cut = False
        for name in self.names:
            self.start(name)
        self.links.run(_RECOVERY_TIME)

    def start(self, name):
        seeds = tuple(n for n in self.names if n.endswith("-0"))
        self.links.start(
            name,
            name.partition("-")[0],
            seeds,
            self.CHECKS,
            VersionChecker(self.CHECKS),
            expected=self.MEMBERS,
        )

    def core(self, name):
        return self.links.node_by_name[name].core

    def running(self):
        return sorted(self.links.node_by_name)

    def check_after_event(self):
        """Check the whole fleet after each event."""

    def run_fault(self, span):
        """Run for some time with the current faults."""
        self.faults += 1
        self.links.run(span)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.05, 0.5]),
        repeat=strategies.sampled_from([0.0, 0.5]),
        delay=strategies.sampled_from([2, 400, 3_000]),
        span=_DURATIONS,
    )
    def spoil(self, loss, repeat, delay, span):
        self.links.loss = loss
        self.links.repeat = repeat
        self.links.delay = delay
        self.run_fault(span)

    @stateful.rule(bits=strategies.integers(1, 2**12), span=_DURATIONS)
    def cut(self, bits, span):
        side = {n for i, n in enumerate(self.names) if bits >> i & 1}
        self.links.cut_between(side, set(self.names) - side)
        self.was_cut = True
        self.run_fault(span)

    @stateful.rule(span=_DURATIONS)
    def heal(self, span):
        self.links.heal()
        self.run_fault(span)

    @stateful.rule(which=strategies.integers(0, 99), span=_DURATIONS)
    def restart(self, which, span):
        name = self.names[which % len(self.names)]
        if name in self.links.node_by_name:
            self.links.kill(name)
        else:
            self.start(name)
        self.run_fault(span)

    @stateful.rule(which=strategies.integers(0, 99), span=_DURATIONS)
    def pause(self, which, span):
        name = self.names[which % len(self.names)]
        if name in self.links.stopped:
            self.links.wake(name)
        elif name in self.links.node_by_name:
            self.links.stop(name)
        self.run_fault(span)

    @stateful.precondition(lambda self: self.faults >= _FAULTS_BEFORE_CALM)
    @stateful.rule()
    def calm(self):
        """End all faults; all members must find each other again."""
        self.faults = 0
        self.links.heal()
        self.spoil(0.0, 0.0, 2, 1)
        for name in self.names:
            if name in self.links.stopped:
                self.links.wake(name)
            if name not in self.links.node_by_name:
                self.start(name)
        self.links.run(_RECOVERY_TIME)
        self.was_cut = False
        for name in self.names:
            self.check_recovered(name)

    def check_recovered(self, name):
        state = self.core(name).state
        expected = {n for n in self.names if n.split("-")[0] == name[:2]}
        self.CHECKS.check(
            "after the faults everyone sees everyone and acts",
            state.membership.alive() == expected and state.authority.may_act(),
            f"{name} sees {sorted(state.membership.alive())}",
        )
