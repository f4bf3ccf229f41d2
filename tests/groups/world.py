"""A simulated data centre: VMs, engines, table and several leaders."""

from citronvalve.groups import compact
from citronvalve.groups import dependencies
from citronvalve.groups import fixedloadslots
from citronvalve.groups import holding
from citronvalve.groups import leader
from citronvalve.groups import phase
from citronvalve.groups import routing
from citronvalve.groups import rowcache
from citronvalve.groups import timing
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.storage import vmlist
from standins import fakeengine
from standins import fakeengines
from standins import faults
from standins import memorytable
from standins import memoryvms
from standins import trip
from standins import triptable

TIMINGS = timing.Timing()
DC = "sapporo"


class Process:
    """One daemon's leader, with its own connections to table and engines."""

    def __init__(self, world, name, engines_class):
        self.points = trip.Trip()
        self.engines = engines_class(
            world.engine_by_address, world.clock, self.points
        )
        self.is_paused = False
        self.leader = leader.Leader(
            dependencies.Dependencies(
                datacentre=DC,
                holder=name,
                table=triptable.TripTable(world.table, self.points),
                vms=world.vms,
                engines=self.engines,
                load_slots=fixedloadslots.FixedLoadSlots(4),
                planner=compact.CompactPlanner(),
                clock=world.clock,
                invariants=world.invariants,
                timings=TIMINGS,
                log=world.log.append,
            )
        )


class World:
    """A simulated data centre and its leaders."""

    def __init__(
        self, domains, size, replicas, refuses_old_fence=True, invariants=None
    ):
        self.clock = manualclock.ManualClock(1_000)
        self.table = memorytable.MemoryTable()
        self.vms = memoryvms.MemoryVms(self.clock)
        self.invariants = invariants or invariant.Invariants()
        self.log = []
        self.engine_by_address = {}
        self.directory = routing.Directory(TIMINGS)
        self.incomplete_since = {}
        self.process_by_name = {}
        self.start_count = 0
        self.group = declared.Group(
            *("draft", DC, "bags", size, replicas),
            refuses_old_fence=refuses_old_fence,
        )
        self.model = declared.Model("bags")
        for domain, count in domains.items():
            for number in range(count):
                self.add_vm(f"{domain}{number}", domain, refuses_old_fence)

    def add_vm(self, vm, domain, refuses_old_fence):
        record = vmlist.VmRecord(vm, DC, domain, f"{vm}:1", 8)
        self.vms.put(record)
        engine = fakeengine.FakeEngine(vm, refuses_old_fence)
        self.engine_by_address[record.address] = engine

    def engine(self, vm):
        return self.engine_by_address[f"{vm}:1"]

    def declare(self, **changes):
        self.group = self.group._replace(**changes)
        for each in self.process_by_name.values():
            each.leader.update_declared(self.declared())

    def declared(self):
        return declared.Declared(
            version=1,
            team_by_name={},
            model_by_name={
                "bags": self.model,
                "coins": self.model._replace(name="coins"),
            },
            datacentre_by_name={},
            upstream_by_name={},
            group_by_name={"draft": self.group},
            service_by_name={},
            limit_by_key={},
            switches=declared.Switches(),
        )

    def start(self, name, engines_class=fakeengines.FakeEngines):
        self.start_count += 1
        process = Process(self, f"{name}/{self.start_count}", engines_class)
        process.leader.update_declared(self.declared())
        self.process_by_name[name] = process
        return process

    def step(self, name):
        process = self.process_by_name.get(name)
        if process is None or process.is_paused:
            return
        # An armed pause runs steps of the other processes in the middle of
        # this step; this process counts as paused in them.
        process.is_paused = True
        try:
            process.leader.step(self.clock.now())
        except trip.KilledError:
            self.process_by_name.pop(name, None)
            return
        process.is_paused = False
        for state in process.leader.states:
            self.directory.update(state)

    def tick(self, duration=1_000):
        self.clock.advance(duration)
        for name in sorted(self.process_by_name):
            self.step(name)
        self.check()

    def run(self, duration):
        for _ in range(duration // 1_000):
            self.tick()

    def serving(self):
        return self.directory.serving(self.clock.now())

    def records(self):
        return self.stored_rows().record_by_group

    def stored_rows(self):
        """Read the table without the faults that are set for the leaders."""
        cache = rowcache.RowCache(DC, self.invariants)
        saved_faults, self.table.faults = self.table.faults, faults.Faults()
        cache.apply_groups(self.table.scan(rowcache.groups_table(DC)))
        cache.apply_owners(self.table.scan(rowcache.owners_table(DC)))
        self.table.faults = saved_faults
        return cache

    def is_complete(self, state):
        for rank, vm in enumerate(state.vms):
            engine = self.engine(vm)
            reported = engine.holding(self.clock.now())
            if not engine.is_up or engine.is_dark:
                return False
            if (
                reported.group,
                reported.fence,
                reported.rank,
                reported.vms,
            ) != (*(state.group, state.fence, rank, state.vms),):
                return False
            if reported.state is not holding.WeightsState.READY:
                return False
        return True

    def check(self):
        """Compare the states for routing with the state of the engines."""
        now = self.clock.now()
        incomplete = [s for s in self.serving() if not self.is_complete(s)]
        names = {(s.group, s.fence) for s in incomplete}
        self.incomplete_since = {
            key: self.incomplete_since.get(key, now) for key in names
        }
        for key, since in self.incomplete_since.items():
            self.invariants.check(
                "no half group is routed to for longer than detection takes",
                now - since < TIMINGS.max_state_age,
                f"{key} incomplete for {now - since} ms",
            )
        self._check_owners()

    def _check_owners(self):
        cache = self.stored_rows()
        for each in cache.record_by_group.values():
            for vm in each.vms:
                owner = cache.owner_by_vm[vm]
                self.invariants.check(
                    "a group's VMs are its own in their rows",
                    owner.group == each.name and owner.fence == each.fence,
                    f"{each} {owner}",
                )

    def serving_count(self):
        return sum(s.state is phase.Phase.SERVING for s in self.serving())
