"""State machines: members on links that drop, delay, repeat and cut."""

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import invariant
from citronvalve.peers import change
from citronvalve.peers import member
from citronvalve.peers import tabledelta
from tests.peers import faultyfleet


class Spreading(faultyfleet.Fleet):
    """Watchers read new versions, which peers spread to all members."""

    CHECKS = invariant.Invariants()
    DATACENTRES = 3
    MEMBERS = 3

    @stateful.initialize()
    def no_rows(self):
        self.rows = {}
        self.version = 0

    @stateful.rule(
        which=strategies.integers(0, 99),
        keys=strategies.sets(strategies.integers(0, 30), min_size=1),
        size=strategies.sampled_from([0, 10, 5_000]),
    )
    def edit(self, which, keys, size):
        self.version += 1
        for key in keys:
            row = change.Change("team", str(key), self.version, b"v" * size)
            self.rows[key] = row
        self.read_platform(self.names[which % len(self.names)])

    @stateful.rule(which=strategies.integers(0, 99))
    def watch(self, which):
        self.read_platform(self.names[which % len(self.names)])

    def read_platform(self, name):
        if name not in self.links.node_by_name or name in self.links.stopped:
            return
        core = self.core(name)
        base = core.state.table.version
        newer = tuple(r for r in self.rows.values() if r.version > base)
        core.publish_table(tabledelta.TableDelta(self.version, base, newer))

    def check_recovered(self, name):
        super().check_recovered(name)
        tables = [self.core(n).state.table for n in self.names]
        newest = max(table.version for table in tables)
        table = self.core(name).state.table
        self.CHECKS.check(
            "after the faults everyone holds the newest version",
            table.version == newest
            and len({t.digest for t in tables}) == 1
            and not self.core(name).confirmation(newest).silent,
            f"{name} {table.version} of {newest}"
            f" {self.core(name).confirmation(newest)}",
        )


class Lending(faultyfleet.Fleet):
    """Members request more slots than there are."""

    CHECKS = invariant.Invariants()

    def start(self, name):
        super().start(name)
        loan_manager = self.core(name).state.loan_manager
        for key, limit in faultyfleet.LIMIT_BY_KEY.items():
            loan_manager.lender.set_limit(key, limit)
            loan_manager.borrower.request_slots(key, limit)

    def held_slots(self, key):
        slots_by_name = {}
        for name, node in self.links.node_by_name.items():
            now = node.clock.now()
            slots = node.core.state.loan_manager.borrower.usable_slots(
                key, now
            )
            if slots:
                slots_by_name[name] = slots
        return slots_by_name

    def check_after_event(self):
        for key, limit in faultyfleet.LIMIT_BY_KEY.items():
            held = self.held_slots(key)
            self.CHECKS.check(
                "no more slots are held in all than the limit",
                sum(held.values()) <= limit,
                f"{key} {held} of {limit}",
            )

    @stateful.rule(
        which=strategies.integers(0, 99), slots=strategies.integers(0, 8)
    )
    def want(self, which, slots):
        name = self.names[which % len(self.names)]
        if name in self.links.node_by_name:
            loan_manager = self.core(name).state.loan_manager
            loan_manager.borrower.request_slots(faultyfleet.TEAM, slots)

    def check_recovered(self, name):
        super().check_recovered(name)
        self.CHECKS.check(
            "after the faults the cold upstream is lent",
            sum(self.held_slots(faultyfleet.COLD).values())
            == faultyfleet.LIMIT_BY_KEY[faultyfleet.COLD],
            f"{self.held_slots(faultyfleet.COLD)}",
        )


class Membership(faultyfleet.Fleet):
    """No dead incarnation acts, and none becomes alive again."""

    CHECKS = invariant.Invariants()
    MEMBERS = 6

    def check_after_event(self):
        for name in self.links.stopped & self.links.node_by_name.keys():
            self.check_stopped(name)

    def check_stopped(self, name):
        # Checks whether a stopped process would act if it resumed at this
        # moment, before it handles any message or timer.
        authority = self.core(name).state.authority
        since = self.links.stopped_at_by_name[name]
        if self.links.clock.now() - since > self.links.timing.pause_limit:
            self.CHECKS.check(
                "a process that was stopped for long does not act",
                not authority.may_act(),
                f"{name} stopped at {since}",
            )
        # After a partition each side marks the other dead and acts until
        # they meet; Lending checks that this is harmless.  Without one, a
        # single member with a bad link may mark this one dead before others
        # know, so only a majority counts.
        if self.was_cut:
            return
        running = set(self.running()) - self.links.stopped
        witnesses = [
            other
            for other in running
            if self.considers_dead(other, name, authority.incarnation)
        ]
        self.CHECKS.check(
            "a life that most buried while it was stopped does not act",
            2 * len(witnesses) <= len(running) or not authority.may_act(),
            f"{name} is dead to {witnesses}",
        )

    def considers_dead(self, other, name, incarnation):
        held = self.core(other).state.membership.member_by_name.get(name)
        return (
            held is not None
            and held.incarnation == incarnation
            and held.state is member.MemberState.DEAD
        )


MACHINES = (Membership, Spreading, Lending)
