"""A stated work on simulated daemons, replicas and engines.

The real planner forms the replicas, and the real placement chooses among
them by counts that are as old as the daemons' messages.  Runs need neither
network nor processes, and the seed decides all chance.
"""

import collections
import heapq
import itertools
import random
import types

from citronvalve.model import manualclock
from citronvalve.model import refusal
from citronvalve.replicas import wants
from citronvalve.routes import keyholder
from citronvalve.routes import modelspec
from tests.replicas import world as worlds
from tests.work import arrivals
from tests.work import daemons
from tests.work import engine as engines
from tests.work import fixedlayout
from tests.work import results

#: Times in ms.
_FORMING_TIME = 16_000
_STALL_DETECTED_AFTER = 450
_CALLER_LATENCY = 3.0
_ROUNDS_BEFORE_ADDING = 3
_AVOID_TIME = 2_500


class Site:
    """One run of a work.

    :param work: the work.
    :param seed: decides all chance.
    :param local_rooms: whether replicas are wanted by data centre.
    :param fixed: large replicas of each domain by data centre, if the layout
        is kept instead of planned.
    :ivar calls: all calls, in the order of their arrival.
    :ivar free: runners without a group at each plan.
    :ivar counts: open replicas by model at each plan.
    :ivar most_in_progress: requests at replicas, at the plan with most.
    :ivar sent_locally: requests by whether their replica was in the daemon's
        data centre.
    :ivar sent: each try, as a :class:`results.Sent`.
    :ivar daemons: the daemons.
    :ivar on_send: called with the head and the engine that a request is sent
        to.
    """

    def __init__(self, work, seed, local_rooms=False, fixed=None):
        self.work = work
        self.rng = random.Random(seed)
        self._arrivals = arrivals.Arrivals(work)
        self.clock = manualclock.ManualClock()
        self._serial = itertools.count()
        self._due = []
        self.calls = []
        self.free = []
        self.counts = []
        self.most_in_progress = 0
        self.sent_locally = collections.Counter()
        self.sent = []
        self.engine_by_head = {}
        self._key_by_head = {}
        models = {
            name: modelspec.ModelSpec(
                name,
                model.size,
                0.5,
                model.time_factor,
                model.load_time,
                model.staged_load_time,
            )
            for name, model in work.models.items()
        }
        tokens = [kind.prompt_tokens for kind in work.requests]
        self.world = worlds.World(
            0,
            0,
            models=models,
            slots=work.slots,
            step_time=work.step_time,
            prefill_tokens_per_ms=work.prefill_tokens_per_ms,
            weight_loads_per_second=work.loads_per_second,
            max_concurrent_loads=20,
            local_rooms=local_rooms,
            typical_prompt_tokens=sum(tokens) // len(tokens),
        )
        for domain in range(work.domains):
            for number in range(work.domain_size):
                self._add_runner(f"r{domain}-{number}", domain, True, number)
        self.spec = worlds.spec(models)._replace(**self.world.figures)
        if fixed is not None:
            self.world.planner = fixedlayout.FixedLayout(self.spec, fixed)
        self._service = types.SimpleNamespace(
            name="svc", engine=self.spec, cold_rate=0
        )
        self.daemons = [
            daemons.Daemon(
                work,
                number,
                self.clock,
                random.Random(f"{seed}/{number}")
                if work.own_chance
                else self.rng,
            )
            for number in range(work.daemons)
        ]
        self._reports = daemons.Reports(
            self.daemons, work.trouble, self.rng, work.report_steps
        )
        self.on_send = lambda head, engine: None
        self._out = None
        self._losses = 0
        self._added = 0

    def run(self):
        """Form the replicas, then play the work."""
        planner = self.world.planner
        planner.before_traffic = True
        self.world.run(_FORMING_TIME)
        planner.before_traffic = False
        self.clock.advance(self.world.now - self.clock.now())
        self.begin = self.clock.now()
        self.end = self.begin + self.work.duration
        self._tick_planner()
        self._tick_reports()
        for kind in self.work.requests:
            for number in range(self.work.datacentres):
                self._arrive_later(kind, number)
        if self.work.loss_interval:
            self._schedule(self.begin + self.work.loss_interval, self._lose)
        if self.work.datacentre_out >= 0:
            name = f"zone-{self.work.datacentre_out}"
            self._schedule(
                self.begin + self.work.out_begin, lambda: self._set_out(name)
            )
            self._schedule(
                self.begin + self.work.out_end, lambda: self._set_out(None)
            )
        if self.work.dark_domain >= 0:
            self._schedule(self.begin + self.work.dark_begin, self._darken)
            self._schedule(self.begin + self.work.dark_end, self._return)
        if self.work.trouble and self.work.trouble.restart:
            self._schedule(
                self.begin + self.work.trouble.restart, self._restart
            )
        while self._due:
            at, _, function = heapq.heappop(self._due)
            if at > self.end + 8_000:
                break
            self.clock.advance(max(0, int(at) - self.clock.now()))
            function()

    @property
    def results(self):
        """Return what the callers got."""
        return results.Results(self.calls, self.work.requests, self.begin)

    def _schedule(self, at, function):
        heapq.heappush(self._due, (at, next(self._serial), function))

    def _add_runner(self, name, domain, staged, number):
        datacentre = f"zone-{domain % self.work.datacentres}"
        self.world.add(name, datacentre, f"d{domain}", staged, number)

    # Callers.

    def _arrive_later(self, kind, number):
        elapsed = self.clock.now() - self.begin
        rate = self._arrivals.rate(kind, number, elapsed)
        if rate <= 0:
            return
        at = self.clock.now() + self.rng.expovariate(rate / 1_000)
        if at < self.end:
            self._schedule(at, lambda: self._arrive(kind, number))

    def _arrive(self, kind, number):
        self._arrive_later(kind, number)
        factor = self.rng.lognormvariate(-0.25, 0.7)
        call = results.Call(
            kind,
            f"zone-{number}",
            max(40, int(kind.prompt_tokens * factor)),
            max(1, int(kind.events * self.rng.lognormvariate(-0.2, 0.6))),
            self.clock.now(),
            self._arrivals.team(self.clock.now() - self.begin, self.rng),
        )
        self.calls.append(call)
        self._place(call)

    def _place(self, call):
        now = self.clock.now()
        here = [d for d in self.daemons if d.datacentre == call.datacentre]
        if self._out == call.datacentre:
            here = [d for d in self.daemons if d.datacentre != self._out]
        daemon = self.rng.choice(here)
        daemon.update_directory(self.world, self._out)
        kind = call.kind
        routed = types.SimpleNamespace(
            service=self._service,
            model=kind.model,
            prompt_tokens=call.prompt,
            response_tokens=call.events * self.spec.steps_per_pass,
            deadline=call.arrived_at + kind.timeout,
            route=types.SimpleNamespace(
                name=kind.name,
                latency_objective=kind.objective,
                timeout=kind.timeout,
            ),
            request=types.SimpleNamespace(arrived_at=now),
            key_holder=keyholder.KeyHolder(f"team-{call.team}"),
            priority=kind.priority,
        )
        if now >= routed.deadline:
            call.result = "lost"
            return
        chosen = daemon.placement.place(routed, call.tried)
        if isinstance(chosen, refusal.Refusal):
            self._refuse(call, chosen)
            return
        self._send(daemon, call, chosen, routed)

    def _free_slots(self, model):
        return sum(
            max(0, self.work.slots - len(engine.jobs))
            for head, engine in self.engine_by_head.items()
            if self._key_by_head[head].model == model and not engine.stalled
        )

    def _refuse(self, call, refused):
        call.refusals.append(self._free_slots(call.kind.model))
        if call.retried:
            call.result = "refused"
            return
        call.retried = True
        call.tried = []
        at = self.clock.now() + refused.retry_after + 2 * _CALLER_LATENCY
        call.returned_at = at
        self._schedule(at, lambda: self._place(call))

    def _send(self, daemon, call, chosen, routed):
        head = self.world.runner_by_id[chosen.upstream]
        self.sent_locally[head.datacentre == daemon.datacentre] += 1
        self.sent.append(
            results.Sent(
                self.clock.now() - self.begin,
                daemon.datacentre,
                head.datacentre,
                call.size,
            )
        )
        load = daemon.loads.of(chosen.upstream)
        load.own += 1
        load.late += chosen.late
        daemon.placement.record_start(routed)
        call.tried.append(chosen.upstream)
        engine = self.engine_by_head.get(chosen.upstream)
        job = engines.Job(
            (call, daemon, chosen, routed, daemon.placement, load),
            call.prompt,
            call.events,
            chosen.late,
        )
        if engine is None:
            self._fail_later(job)
            return
        self.on_send(head, engine)
        engine.add(job, self.clock.now())
        if engine.stalled:
            self._fail_later(job)

    def _fail_later(self, job):
        at = self.clock.now() + _STALL_DETECTED_AFTER
        self._schedule(at, lambda: self._fail(job))

    def _fail(self, job):
        call, _, chosen, *_ = job.call
        self._release(job)
        until = self.clock.now() + _AVOID_TIME
        for other in self.daemons:
            other.loads.of(chosen.upstream).avoid_until = until
        if self.world.runner_by_id.get(chosen.upstream):
            self.world.planner.suspect_group(chosen.upstream)
        if call.result is None and len(call.tried) < 3:
            self._place(call)
        elif call.result is None:
            call.result = "lost"

    def _release(self, job):
        _, _, chosen, routed, placement, load = job.call
        load.own -= 1
        load.late -= chosen.late
        placement.record_end(routed)

    def _end(self, job):
        call, daemon, chosen, *_ = job.call
        self._release(job)
        head = self.world.runner_by_id[chosen.upstream]
        remote = head.datacentre != daemon.datacentre
        latency = _CALLER_LATENCY + (self.work.remote_latency if remote else 0)
        call.first = job.first_at - call.arrived_at + 2 * latency
        call.first_after = (
            job.first_at + 2 * latency - (call.returned_at or call.arrived_at)
        )
        in_time = (
            call.first <= call.kind.objective
            and job.largest_gap <= call.kind.gap_objective
        )
        call.result = "in_time" if in_time else "late"

    # Replicas.

    def _tick_planner(self):
        world, now = self.world, self.clock.now()
        load = {name: 0.0 for name in world.models}
        load_by_place = collections.Counter()
        in_progress = sum(len(e.jobs) for e in self.engine_by_head.values())
        self.most_in_progress = max(self.most_in_progress, in_progress)
        for head, engine in self.engine_by_head.items():
            if not engine.stalled:
                model = self._key_by_head[head].model
                load[model] += len(engine.jobs)
                place = wants.Place(model, world.runner_by_id[head].datacentre)
                load_by_place[place] += len(engine.jobs)
        world.planner.demand.observe(load, now)
        if world.planner.wants is not None:
            world.planner.wants.observe(load_by_place, now)
        world.busy = {
            head for head, e in self.engine_by_head.items() if e.jobs
        }
        world.step()
        self._sync_engines()
        self.free.append(
            sum(
                r.membership is None and r.id not in world.unreachable
                for r in world.runner_by_id.values()
            )
        )
        self.counts.append({m: len(world.open_heads(m)) for m in world.models})
        if now < self.end:
            self._schedule(now + worlds.STEP, self._tick_planner)

    def _sync_engines(self):
        for runner in list(self.world.runner_by_id.values()):
            held = runner.membership
            engine = self.engine_by_head.get(runner.id)
            serves = runner.is_open_head and not (
                runner.id in self.world.unreachable
            )
            if engine is not None and (
                held is None or self._key_by_head[runner.id] != held.key
            ):
                self._drop(runner.id)
                engine = None
            if engine is None and serves:
                self._open(runner)
            elif engine is not None and not serves:
                self._close(runner, engine)

    def _open(self, runner):
        model = self.work.models[runner.membership.key.model]
        engine = engines.Engine(self.spec, model.time_factor, self._schedule)
        engine.on_end = self._end
        self.engine_by_head[runner.id] = engine
        self._key_by_head[runner.id] = runner.membership.key

    def _close(self, runner, engine):
        closing = runner.membership.phase.value == "closing"
        if closing and engine.jobs:
            return
        if closing:
            # A head that has ended its requests is ready again.
            self.world.end_serving(
                runner,
                types.SimpleNamespace(key=runner.membership.key),
                worlds.phase.Phase.READY,
            )
        self._drop(runner.id)

    def _drop(self, head):
        engine = self.engine_by_head.pop(head)
        del self._key_by_head[head]
        if not engine.stalled:
            engine.stalled = True
            for job in engine.jobs:
                self._fail_later(job)

    def _lose(self):
        datacentre = f"zone-{self._losses % self.work.datacentres}"
        if self.work.lost_members:
            self._lose_any(datacentre)
        for model in self.work.models if not self.work.lost_members else ():
            heads = [
                head
                for head in self.world.open_heads(model)
                if head.datacentre == datacentre
            ]
            if heads:
                self._crash_member(self.rng.choice(heads).id)
        if self._losses >= _ROUNDS_BEFORE_ADDING:
            for number in range(self.work.added):
                self._added += 1
                domain = (self._losses * 2 + number) % self.work.domains
                self._add_runner(f"new{self._added}", domain, False, 0)
        self._losses += 1
        at = self.clock.now() + self.work.loss_interval
        if at < self.end:
            self._schedule(at, self._lose)

    def _lose_any(self, datacentre):
        """Lose members of any replicas, each runner with equal chance."""
        heads_and_members = [
            (head.id, member)
            for head in self.world.open_heads()
            if head.datacentre == datacentre
            for member in self.world.members(head.id)
            if self.work.heads_too or member != head.id
        ]
        count = min(self.work.lost_members, len(heads_and_members))
        for head, victim in self.rng.sample(heads_and_members, count):
            self._crash(head, victim)

    def _crash_member(self, head):
        members = self.world.members(head)
        if not self.work.heads_too and len(members) > 1:
            members.remove(head)
        self._crash(head, self.rng.choice(members))

    def _crash(self, head, victim):
        self.world.crash(victim)
        self.world.unlisted.add(victim)
        engine = self.engine_by_head.get(head)
        if engine is None or engine.stalled:
            return
        engine.stalled = True
        for job in engine.jobs:
            self._fail_later(job)

    def _darken(self):
        """Let all runners of a domain crash; their entries stay."""
        for runner in self._in_dark_domain():
            held = runner.membership
            self.world.crash(runner.id)
            head = held and next(
                (
                    r.id
                    for r in self.world.runner_by_id.values()
                    if r.is_open_head and r.membership.key == held.key
                ),
                None,
            )
            if head:
                self._crash(head, runner.id)
                self.world.unlisted.discard(runner.id)

    def _return(self):
        """Let the runners of the domain come back, without a group."""
        for runner in self._in_dark_domain():
            if runner.id not in self.world.unlisted:
                self.world.restart(runner.id)

    def _in_dark_domain(self):
        name = f"d{self.work.dark_domain}"
        return [
            runner
            for runner in self.world.runner_by_id.values()
            if runner.domain.rpartition("/")[2] == name
        ]

    def _set_out(self, datacentre):
        self._out = datacentre

    def _restart(self):
        for daemon in self.daemons[::2]:
            daemon.restart()

    def _tick_reports(self):
        now = self.clock.now()
        self._reports.send(now, now - self.begin)
        if now < self.end:
            self._schedule(now + self._reports.interval, self._tick_reports)
