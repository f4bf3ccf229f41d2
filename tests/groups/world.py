"""A data centre in memory: VMs, engines, table and several leaders."""

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

SPANS = timing.Timing()
DC = "sapporo"


class Process:
    """One daemon's leader, with its own ways to table and engines."""

    def __init__(self, world, name):
        self.points = trip.Trip()
        self.engines = fakeengines.FakeEngines(
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
                invariants=world.held,
                timings=SPANS,
                log=world.log.append,
            )
        )


class World:
    """Everything outside the leaders, and the leaders."""

    def __init__(self, domains, size, replicas, refuses=True, held=None):
        self.clock = manualclock.ManualClock(1_000)
        self.table = memorytable.MemoryTable()
        self.vms = memoryvms.MemoryVms(self.clock)
        self.held = held or invariant.Invariants()
        self.log = []
        self.engine_by_address = {}
        self.directory = routing.Directory(SPANS)
        self.broken_since = {}
        self.process_by_name = {}
        self.starts = 0
        self.group = declared.Group(
            *("draft", DC, "bags", size, replicas), refuses_old_fence=refuses
        )
        self.model = declared.Model("bags")
        for domain, count in domains.items():
            for number in range(count):
                self.add_vm(f"{domain}{number}", domain, refuses)

    def add_vm(self, vm, domain, refuses):
        record = vmlist.VmRecord(vm, DC, domain, f"{vm}:1", 8)
        self.vms.put(record)
        engine = fakeengine.FakeEngine(vm, refuses)
        self.engine_by_address[record.address] = engine

    def engine(self, vm):
        return self.engine_by_address[f"{vm}:1"]

    def declare(self, **changed):
        self.group = self.group._replace(**changed)
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

    def start(self, name):
        self.starts += 1
        process = Process(self, f"{name}/{self.starts}")
        process.leader.update_declared(self.declared())
        self.process_by_name[name] = process
        return process

    def step(self, name):
        process = self.process_by_name.get(name)
        if process is None or process.is_paused:
            return
        # It counts as paused for the steps that an armed pause lets the
        # others make in the middle of its own.
        process.is_paused = True
        try:
            process.leader.step(self.clock.now())
        except trip.KilledError:
            self.process_by_name.pop(name, None)
            return
        process.is_paused = False
        for state in process.leader.states:
            self.directory.update(state)

    def tick(self, span=1_000):
        self.clock.advance(span)
        for name in sorted(self.process_by_name):
            self.step(name)
        self.check()

    def run(self, span):
        for _ in range(span // 1_000):
            self.tick()

    def serving(self):
        return self.directory.serving(self.clock.now())

    def records(self):
        return self.rows().record_by_group

    def rows(self):
        """Read the table as it is, past the faults set for the leaders."""
        known = rowcache.RowCache(DC, self.held)
        kept, self.table.faults = self.table.faults, faults.Faults()
        known.apply_groups(self.table.scan(rowcache.groups_table(DC)))
        known.apply_owners(self.table.scan(rowcache.owners_table(DC)))
        self.table.faults = kept
        return known

    def is_whole(self, state):
        for rank, vm in enumerate(state.vms):
            engine = self.engine(vm)
            held = engine.holding(self.clock.now())
            if not engine.is_up or engine.is_dark:
                return False
            if (held.group, held.fence, held.rank, held.vms) != (
                *(state.group, state.fence, rank, state.vms),
            ):
                return False
            if held.state is not holding.WeightsState.READY:
                return False
        return True

    def check(self):
        """Compare what routing may use with what the engines hold."""
        now = self.clock.now()
        broken = [s for s in self.serving() if not self.is_whole(s)]
        names = {(s.group, s.fence) for s in broken}
        self.broken_since = {
            key: self.broken_since.get(key, now) for key in names
        }
        for key, since in self.broken_since.items():
            self.held.check(
                "no half group is routed to for longer than detection takes",
                now - since < SPANS.max_state_age,
                f"{key} broken for {now - since} ms",
            )
        self._check_owners()

    def _check_owners(self):
        known = self.rows()
        for each in known.record_by_group.values():
            for vm in each.vms:
                owner = known.owner_by_vm[vm]
                self.held.check(
                    "a group's VMs are its own in their rows",
                    owner.group == each.name and owner.fence == each.fence,
                    f"{each} {owner}",
                )

    def serving_count(self):
        return sum(s.state is phase.Phase.SERVING for s in self.serving())
