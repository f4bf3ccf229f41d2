"""State machines that expose several leaders to random failures."""

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import invariant
from standins import faults
from tests.groups import world

_VMS = [f"{domain}{number}" for domain in "ab" for number in range(5)]
_NAMES = ["x", "y", "z"]

_vm = strategies.sampled_from(_VMS)
_name = strategies.sampled_from(_NAMES)
_point = strategies.integers(0, 40)
_small_count = strategies.integers(1, 3)


class _Groups(stateful.RuleBasedStateMachine):
    """Two domains of five VMs, three groups of two, three leaders."""

    CHECKS = invariant.Invariants()
    refuses = True

    def __init__(self):
        super().__init__()
        self.world = world.World(
            {"a": 5, "b": 5}, 2, 3, self.refuses, self.CHECKS
        )
        for name in _NAMES:
            self.world.start(name)
        self.world.run(30_000)

    def _process(self, name):
        return self.world.process_by_name.get(name)

    @stateful.rule(span=strategies.sampled_from([200, 1_000, 1_000, 2_500]))
    def tick(self, span):
        self.world.tick(span)

    @stateful.rule(seconds=strategies.integers(2, 25))
    def run(self, seconds):
        self.world.run(seconds * 1_000)

    @stateful.rule(name=_name, point=_point)
    def kill_leader(self, name, point):
        if self._process(name):
            self._process(name).points.kill(point)

    @stateful.rule(name=_name)
    def start_leader(self, name):
        if not self._process(name):
            self.world.start(name)

    @stateful.rule(name=_name, point=_point, span=strategies.integers(1, 20))
    def pause_leader(self, name, point, span):
        process = self._process(name)
        if process:
            process.points.arm(point, lambda: self.world.run(span * 1_000))

    @stateful.rule(name=_name, count=_small_count)
    def hold_orders(self, name, count):
        if self._process(name):
            self._process(name).engines.hold_next = count

    @stateful.rule(name=_name)
    def deliver_orders(self, name):
        if self._process(name):
            self._process(name).engines.deliver()

    @stateful.rule(name=_name, count=_small_count)
    def lose_order_answers(self, name, count):
        if self._process(name):
            self._process(name).engines.lose_next = count

    @stateful.rule(count=_small_count)
    def lose_table_answers(self, count):
        self.world.table.faults.order(faults.Fault.LOSE_ANSWER, count)

    @stateful.rule(calls=strategies.integers(1, 60))
    def table_down(self, calls):
        self.world.table.faults.order(faults.Fault.DOWN, calls)

    @stateful.rule(vm=_vm)
    def kill_vm(self, vm):
        self.world.engine(vm).is_up = False

    @stateful.rule(vm=_vm)
    def restart_vm(self, vm):
        self.world.engine(vm).restart()

    @stateful.rule(vm=_vm, is_dark=strategies.booleans())
    def darken_vm(self, vm, is_dark):
        self.world.engine(vm).is_dark = is_dark

    @stateful.rule(domain=strategies.sampled_from("ab"))
    def darken_domain(self, domain):
        for vm in _VMS:
            if vm.startswith(domain):
                self.world.engine(vm).is_dark = True

    @stateful.rule()
    def light_all(self):
        for vm in _VMS:
            self.world.engine(vm).is_dark = False

    @stateful.rule(replicas=strategies.integers(0, 4))
    def change_replicas(self, replicas):
        self.world.declare(replicas=replicas)

    @stateful.rule(version=strategies.sampled_from("123"))
    def change_version(self, version):
        self.world.model = self.world.model._replace(version=version)
        self.world.declare()

    @stateful.rule(role=strategies.sampled_from(["", "prefill"]))
    def change_role(self, role):
        self.world.declare(role=role)

    def teardown(self):
        """Clear all faults; then all groups must serve again."""
        self.world.table.faults.order(faults.Fault.DOWN, 0)
        self.world.table.faults.order(faults.Fault.LOSE_ANSWER, 0)
        self.light_all()
        for vm in _VMS:
            if not self.world.engine(vm).is_up:
                self.world.engine(vm).restart()
        for name in _NAMES:
            process = self._process(name) or self.world.start(name)
            process.points.arm(0, lambda: None)
            process.engines.hold_next = process.engines.lose_next = 0
        self.world.run(150_000)
        want = min(self.world.group.replicas, 4)
        got = self.world.serving_count()
        assert got == want, (got, want, self.world.records())


class RefusingEngines(_Groups):
    """Engines that refuse an old fencing number."""

    CHECKS = invariant.Invariants()


class IgnoringEngines(_Groups):
    """Engines that take any order."""

    CHECKS = invariant.Invariants()

    refuses = False


MACHINES = (RefusingEngines, IgnoringEngines)
