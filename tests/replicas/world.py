"""Runners in memory that keep the platform's word on groups.

Orders take effect at once or late, as a scenario says; what a runner tells
reaches the list one step later.
"""

from citronvalve.replicas import lease as leases
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import phase
from citronvalve.replicas import planner as planners
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
    """Return an engine's declared figures."""
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
    """A planner, and the runners that it gives orders to."""

    def __init__(self, domains, size, staged=True, models=None):
        self.now = 1_000_000
        self.models = models or MODELS
        self.runner_by_id = {}
        self.dark = set()
        self.refusing = set()
        self.deaf = set()
        self.unlisted = set()
        self.late = []
        self.given = []
        self.problems = []
        self._seen = 0
        self._done_at = {}
        self.dead = set()
        self.working = set()
        self.lag = 0
        self.delay_opens = 0
        self.history = []
        self.frozen = None
        self._left = {}
        self._last = {}
        self._broken_at = {}
        for d in range(domains):
            zone = f"zone-{d % 3}"
            for n in range(size):
                self.add(f"r{d}-{n}", zone, f"d{d}", staged, n)
        self.lead(1)

    def add(self, name, zone, domain, staged=True, turn=0):
        """Let a runner register."""
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

    def lead(self, lease):
        """Let a daemon without any memory take the lead."""
        self.planner = planners.Planner(
            spec(self.models), STALL, leases.epochs(lease)
        )

    def run(self, span):
        """Plan and carry out for some ms."""
        until = self.now + span
        while self.now < until:
            self.step()

    def step(self):
        """Make one plan and carry it out."""
        self.history.append(dict(self.runner_by_id))
        shown = (
            self.frozen
            or self.history[-1 - min(self.lag, len(self.history) - 1)]
        )
        listed = {k: r for k, r in shown.items() if k not in self.unlisted}
        for act in self.planner.step(listed, self.now):
            if isinstance(act, orders.Probe):
                self._look(act.runner)
            elif act.runner in self.deaf or self._is_delayed(act):
                self.late.append(act)
                self.planner.record_result(
                    act, orders.OrderResult.SILENT, self.now
                )
            else:
                self.carry_out(act)
                gone = act.runner in self.dark | self.refusing
                told = (
                    orders.OrderResult.SILENT
                    if gone
                    else orders.OrderResult.ACCEPTED
                )
                self.planner.record_result(act, told, self.now)
        self.now += STEP
        self._progress()
        self._check()

    def _is_delayed(self, act):
        if self.delay_opens and act.kind is orders.OrderKind.OPEN:
            self.delay_opens -= 1
            return True
        return False

    def carry_out(self, act):
        """Let a runner carry out an order, if it can."""
        self.given.append((self.now, act))
        runner = self.runner_by_id.get(act.runner)
        if runner is None or act.runner in self.dark:
            return
        handler = getattr(self, f"_on_{act.kind.value}")
        handler(runner, act)

    def cut_off(self, zone):
        """Let a data centre's runners go silent to the leader; return them."""
        there = [r for r in self.runner_by_id.values() if r.datacentre == zone]
        self.dark.update(r.id for r in there)
        return there

    def crash(self, name, dark=True):
        """Let a runner die; a dark one says nothing, else its port refuses."""
        (self.dark if dark else self.refusing).add(name)

    def restart(self, name):
        """Let a runner start again under its id, without a group."""
        self.dark.discard(name)
        self.refusing.discard(name)
        held = self.runner_by_id[name]
        self._put(held._replace(membership=None, start_id=held.start_id + 1))

    def open_heads(self, model=None):
        """Return the heads that serve."""
        return [
            r
            for r in self.runner_by_id.values()
            if r.is_open_head
            and r.id not in self.dark
            and r.id not in self.refusing
            and (model is None or r.membership.key.model == model)
        ]

    def is_ready_head(self, name):
        """Tell whether a runner heads a group whose members are all ready."""
        held = self.runner_by_id[name].membership
        if held is None or held.rank:
            return False
        members = [self.runner_by_id[m] for m in self.members(name)]
        ready = all(m.membership.phase is phase.Phase.READY for m in members)
        ready = ready and not any(m.id in self.dark for m in members)
        return ready and len(members) == self.models[held.key.model].size

    def members(self, head):
        """Return the ids of a head's group."""
        key = self.runner_by_id[head].membership.key
        return [
            r.id
            for r in self.runner_by_id.values()
            if r.membership and r.membership.key == key
        ]

    def _put(self, runner):
        self._seen += 1
        self.runner_by_id[runner.id] = runner._replace(
            list_version=self._seen + 1
        )

    def _set(self, runner, key, rank, at):
        self._put(
            runner._replace(membership=membership.Membership(key, rank, at))
        )

    def _on_join(self, runner, act):
        held = runner.membership
        if held and held.key.epoch > act.key.epoch:
            return
        if held and held.key == act.key:
            return
        self._note_two(runner)
        rank = act.members.index(runner.id)
        self._set(runner, act.key, rank, phase.Phase.JOINING)
        model = self.models[act.model]
        load = (
            model.load_time // 10
            if self.planner.before_traffic
            else model.load_time
        )
        span = model.staged_load_time if act.model in runner.staged else load
        if self._last.get((runner.id, runner.start_id)) == act.model:
            span = 200
        self._done_at[runner.id] = self.now + span

    def _note_two(self, runner):
        # The rule: no join of another group while the old head is open,
        # closing, or stands still and has not broken yet.
        held = runner.membership or self._left.get(runner.id)
        if held is None:
            return
        for head in self.runner_by_id.values():
            own = head.membership
            if own and own.key == held.key and not own.rank:
                lives = head.id not in self.dead
                if lives and own.phase in phase.SERVING:
                    self.problems.append(
                        f"{runner.id} joins, {head.id} serves"
                    )

    def _on_open(self, runner, act):
        held = runner.membership
        if held and held.key == act.key and held.phase is phase.Phase.READY:
            whole = {
                r.membership.rank
                for r in self.runner_by_id.values()
                if r.membership and r.membership.key == act.key
            }
            if len(whole) != self.models[act.key.model].size:
                self.problems.append(f"{act.key} opened with {whole}")
            self._set(runner, act.key, held.rank, phase.Phase.OPEN)

    def _on_close(self, runner, act):
        after = phase.Phase.READY
        if runner.id in self.working:
            after = phase.Phase.CLOSING
        self._end(runner, act, after)

    def _on_cut(self, runner, act):
        self._end(runner, act, phase.Phase.READY)

    def _end(self, runner, act, after):
        held = runner.membership
        if held and held.key == act.key and held.phase in phase.SERVING:
            self._set(runner, act.key, held.rank, after)

    def _on_leave(self, runner, act):
        held = runner.membership
        if held and held.key == act.key:
            self._left[runner.id] = held
            self._put(runner._replace(membership=None))
            self._broken_at.setdefault(act.key, self.now + STALL)

    def _on_stage(self, runner, act):
        self._put(runner._replace(staged=(act.model,)))

    def _progress(self):
        for name, at in list(self._done_at.items()):
            runner = self.runner_by_id[name]
            held = runner.membership
            if name in self.dark or held is None:
                del self._done_at[name]
            elif self.now >= at and held.phase is phase.Phase.JOINING:
                del self._done_at[name]
                last = self._last.get((name, runner.start_id))
                self._last[name, runner.start_id] = held.key.model
                if last != held.key.model:
                    # A join that had to load leaves the weights staged.
                    self._put(runner._replace(staged=(held.key.model,)))
                runner = self.runner_by_id[name]
                self._set(runner, held.key, held.rank, phase.Phase.READY)
        for key, at in list(self._broken_at.items()):
            if self.now < at:
                continue
            del self._broken_at[key]
            for runner in list(self.runner_by_id.values()):
                held = runner.membership
                if held and held.key == key and held.phase in phase.SERVING:
                    self._set(runner, key, held.rank, phase.Phase.BROKEN)

    def _look(self, name):
        lives = self.planner.liveness
        if name in self.dark or name in self.refusing:
            lives.record_no_answer(name, self.now)
        else:
            lives.record_answer(name, self.now)

    def _check(self):
        seen = {}
        for head in self.open_heads():
            for member in self.members(head.id):
                if member in seen:
                    self.problems.append(f"{member} in two open groups")
                seen[member] = head.id
