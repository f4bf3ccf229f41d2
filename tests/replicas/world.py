"""In-memory runners that follow the platform's rules for groups.

Orders take effect at once or late, as a scenario requires.  A change of a
runner shows in the list one step later.
"""

from citronvalve.replicas import lease as leases
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import phase
from citronvalve.replicas import planner as planners
from citronvalve.replicas import probefailure
from citronvalve.replicas import runner as runners
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

STALL = 4_000
STEP = 100

MODELS = {
    "large": modelspec.ModelSpec("large", 6, 0.67, 1.0, 16_000, 1_600),
    "small": modelspec.ModelSpec("small", 3, 0.33, 0.6, 12_000, 1_100),
}


def spec(models=None):
    """Return the declared figures of an engine."""
    return enginespec.EngineSpec(
        slots=13,
        kv_cache_tokens=1_235_000,
        steps_per_pass=6,
        step_time=6.45,
        step_time_per_request=0.1934,
        step_time_per_1k_context=0.00586,
        prefill_tokens_per_ms=56.1,
        prefill_time_per_million_pairs=0.309,
        max_prefill_tokens=2_048,
        report_lag=200,
        weight_loads_per_second=5.5,
        max_concurrent_loads=8,
        max_staged_models=1,
        cross_domain_factor=2.5,
        group_open_time=300,
        typical_prompt_tokens=1_115,
        typical_response_tokens=152,
        model_by_name=models or MODELS,
    )


class World:
    """A planner and the runners that it sends orders to."""

    def __init__(self, domains, size, staged=True, models=None, **figures):
        self.now = 1_000_000
        self.models = models or MODELS
        self.local_rooms = figures.pop("local_rooms", False)
        self.figures = figures
        self.runner_by_id = {}
        self.unreachable = set()
        self.refusing = set()
        self.paused = set()
        self._orders_in_pause = []
        self.delayed = set()
        self.unlisted = set()
        self.delayed_orders = []
        self.sent = []
        self.violations = []
        self._list_version = 0
        self._ready_at_by_id = {}
        self.dead = set()
        self.busy = set()
        self.list_lag = 0
        self.opens_to_delay = 0
        self.late_joins = set()
        self.form_time = 0
        self.opening = []
        self._seen_epoch_by_start = {}
        self.history = []
        self.frozen_list = None
        self._left_membership_by_id = {}
        self._last_model_by_start = {}
        self._breaks_at_by_key = {}
        for d in range(domains):
            zone = f"zone-{d % 3}"
            for n in range(size):
                self.add(f"r{d}-{n}", zone, f"d{d}", staged, n)
        self.start_leader(1)

    def add(self, name, zone, domain, staged=True, turn=0):
        """Register a runner."""
        names = sorted(self.models)
        model = names[0] if turn % 9 < 6 else names[-1]
        self.runner_by_id[name] = runners.Runner(
            name,
            "svc",
            f"10.0.0.1:{len(self.runner_by_id) + 1000}",
            zone,
            domain=f"{zone}/{domain}",
            staged=(model,) if staged else (),
            start_id=1,
            list_version=1,
        )

    def start_leader(self, lease):
        """Replace the planner by that of a new leader without any state."""
        self.planner = planners.Planner(
            spec(self.models)._replace(**self.figures),
            STALL,
            leases.epochs(lease),
            self.local_rooms,
        )

    def run(self, span):
        """Run steps for a time in ms."""
        end = self.now + span
        while self.now < end:
            self.step()

    def step_planner(self):
        """Make a plan that is not carried out."""
        return self.planner.step(dict(self.runner_by_id), self.now)

    def step(self):
        """Make a plan and carry it out."""
        self.history.append(dict(self.runner_by_id))
        shown = (
            self.frozen_list
            or self.history[-1 - min(self.list_lag, len(self.history) - 1)]
        )
        listed = {k: r for k, r in shown.items() if k not in self.unlisted}
        for action in self.planner.step(listed, self.now):
            if isinstance(action, orders.Probe):
                self._probe(action.runner)
            elif action.runner in self.delayed or self._is_delayed(action):
                self.delayed_orders.append(action)
                self.planner.record_result(
                    action, orders.OrderResult.SILENT, self.now
                )
            else:
                self.carry_out(action)
                unanswered = action.runner in (
                    self.unreachable | self.refusing | self.paused
                )
                result = (
                    orders.OrderResult.SILENT
                    if unanswered
                    else orders.OrderResult.ACCEPTED
                )
                self.planner.record_result(action, result, self.now)
        self.now += STEP
        self._progress()
        self._check_groups()

    def _is_delayed(self, order):
        if order.kind is orders.OrderKind.JOIN:
            return order.runner in self.late_joins
        if self.opens_to_delay and order.kind is orders.OrderKind.OPEN:
            self.opens_to_delay -= 1
            return True
        return False

    def carry_out(self, order):
        """Carry out an order at its runner, if that is reachable."""
        self.sent.append((self.now, order))
        runner = self.runner_by_id.get(order.runner)
        if runner is None or order.runner in self.unreachable:
            return
        if order.runner in self.paused:
            self._orders_in_pause.append(order)
            return
        handler = getattr(self, f"_on_{order.kind.value}")
        handler(runner, order)

    def partition(self, zone):
        """Make a data centre's runners unreachable; return them."""
        affected = [
            r for r in self.runner_by_id.values() if r.datacentre == zone
        ]
        self.unreachable.update(r.id for r in affected)
        return affected

    def crash(self, name, silent=True):
        """Crash a runner; if not silent, its port refuses connections."""
        (self.unreachable if silent else self.refusing).add(name)

    def resume(self, names):
        """Let paused runners go on; they carry out what they were ordered."""
        self.paused -= set(names)
        held, self._orders_in_pause = self._orders_in_pause, []
        for order in held:
            self.carry_out(order)

    def restart(self, name):
        """Restart a runner under its id, without a group."""
        self.unreachable.discard(name)
        self.refusing.discard(name)
        held = self.runner_by_id[name]
        self._put(held._replace(membership=None, start_id=held.start_id + 1))

    def open_heads(self, model=None):
        """Return the heads that serve."""
        return [
            r
            for r in self.runner_by_id.values()
            if r.is_open_head
            and r.id not in self.unreachable
            and r.id not in self.refusing
            and (model is None or r.membership.key.model == model)
        ]

    def is_ready_head(self, name):
        """Return whether a runner is the head of a group that is ready."""
        held = self.runner_by_id[name].membership
        if held is None or held.rank:
            return False
        members = [self.runner_by_id[m] for m in self.members(name)]
        ready = all(m.membership.phase is phase.Phase.READY for m in members)
        ready = ready and not any(m.id in self.unreachable for m in members)
        return ready and len(members) == self.models[held.key.model].size

    def members(self, head):
        """Return the ids of the members of a head's group."""
        key = self.runner_by_id[head].membership.key
        return [
            r.id
            for r in self.runner_by_id.values()
            if r.membership and r.membership.key == key
        ]

    def _put(self, runner):
        self._list_version += 1
        self.runner_by_id[runner.id] = runner._replace(
            list_version=self._list_version + 1
        )

    def _set(self, runner, key, rank, at):
        self._put(
            runner._replace(membership=membership.Membership(key, rank, at))
        )

    def _on_join(self, runner, order):
        held = runner.membership
        life = runner.id, runner.start_id
        if order.key.epoch < self._seen_epoch_by_start.get(life, 0):
            return
        if held and held.key == order.key:
            return
        self._check_join(runner)
        self._seen_epoch_by_start[life] = order.key.epoch
        rank = order.members.index(runner.id)
        self._set(runner, order.key, rank, phase.Phase.JOINING)
        model = self.models[order.model]
        load = (
            model.load_time // 10
            if self.planner.before_traffic
            else model.load_time
        )
        span = model.staged_load_time if order.model in runner.staged else load
        if (
            self._last_model_by_start.get((runner.id, runner.start_id))
            == order.model
        ):
            span = 200
        self._ready_at_by_id[runner.id] = self.now + span

    def _check_join(self, runner):
        # A runner must not join another group while its old head is open,
        # closing, or stalled and not yet broken.
        held = runner.membership or self._left_membership_by_id.get(runner.id)
        if held is None:
            return
        for head in self.runner_by_id.values():
            own = head.membership
            if own and own.key == held.key and not own.rank:
                is_alive = head.id not in self.dead
                if is_alive and own.phase in phase.SERVING:
                    self.violations.append(
                        f"{runner.id} joins, {head.id} serves"
                    )

    def _on_open(self, runner, order):
        at = self.now + self.form_time
        self.opening.append((at, order, runner.start_id))
        if not self.form_time:
            self._open_due()

    def _open_due(self):
        """Open the heads whose time to form is over."""
        due = [one for one in self.opening if one[0] <= self.now]
        self.opening = [one for one in self.opening if one[0] > self.now]
        for _, order, start_id in due:
            runner = self.runner_by_id[order.runner]
            is_same = runner.start_id == start_id
            if is_same and order.runner not in self.dead:
                self._open(runner, order)

    def _open(self, runner, order):
        held = runner.membership
        if held and held.key == order.key and held.phase is phase.Phase.READY:
            ranks = self._ranks(order.key)
            if len(ranks) != self.models[order.key.model].size:
                self.violations.append(f"{order.key} opened with {ranks}")
            self._set(runner, order.key, held.rank, phase.Phase.OPEN)

    def _ranks(self, key):
        """Return the ranks of a group's members."""
        return {
            r.membership.rank
            for r in self.runner_by_id.values()
            if r.membership and r.membership.key == key
        }

    def _on_close(self, runner, order):
        after = phase.Phase.READY
        if runner.id in self.busy:
            after = phase.Phase.CLOSING
        self.end_serving(runner, order, after)

    def _on_cut(self, runner, order):
        self.end_serving(runner, order, phase.Phase.READY)

    def end_serving(self, runner, order, after):
        held = runner.membership
        if held and held.key == order.key and held.phase in phase.SERVING:
            self._set(runner, order.key, held.rank, after)

    def _on_leave(self, runner, order):
        held = runner.membership
        if held and held.key == order.key:
            self._left_membership_by_id[runner.id] = held
            self._put(runner._replace(membership=None))
            self._breaks_at_by_key.setdefault(order.key, self.now + STALL)

    def _on_stage(self, runner, order):
        self._put(runner._replace(staged=(order.model,)))

    def _progress(self):
        self._open_due()
        for name, at in list(self._ready_at_by_id.items()):
            runner = self.runner_by_id[name]
            held = runner.membership
            if name in self.paused:
                continue
            if name in self.unreachable or held is None:
                del self._ready_at_by_id[name]
            elif self.now >= at and held.phase is phase.Phase.JOINING:
                del self._ready_at_by_id[name]
                last = self._last_model_by_start.get((name, runner.start_id))
                self._last_model_by_start[name, runner.start_id] = (
                    held.key.model
                )
                if last != held.key.model:
                    # A join that had to load leaves the weights staged.
                    self._put(runner._replace(staged=(held.key.model,)))
                runner = self.runner_by_id[name]
                self._set(runner, held.key, held.rank, phase.Phase.READY)
        for key, at in list(self._breaks_at_by_key.items()):
            if self.now < at:
                continue
            del self._breaks_at_by_key[key]
            for runner in list(self.runner_by_id.values()):
                held = runner.membership
                if held and held.key == key and held.phase in phase.SERVING:
                    self._set(runner, key, held.rank, phase.Phase.BROKEN)

    def _probe(self, name):
        liveness = self.planner.liveness
        failure = self._probe_failure(name)
        if failure is None:
            liveness.record_answer(name, self.now)
        else:
            liveness.record_no_answer(name, failure, self.now)

    def _probe_failure(self, name):
        for names, failure in (
            (self.unreachable, probefailure.ProbeFailure.UNREACHED),
            (self.refusing, probefailure.ProbeFailure.REFUSED),
            (self.paused, probefailure.ProbeFailure.SILENT),
        ):
            if name in names:
                return failure
        return None

    def _check_groups(self):
        head_by_member = {}
        for head in self.open_heads():
            for member in self.members(head.id):
                if member in head_by_member:
                    self.violations.append(f"{member} in two open groups")
                head_by_member[member] = head.id
