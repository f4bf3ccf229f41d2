"""A stated work on simulated daemons, replicas and engines.

The real planner forms the replicas, and the real placement chooses among
them by counts that are as old as the daemons' messages.  Runs need neither
network nor processes, and the seed decides all chance.
"""

import collections
import heapq
import itertools
import math
import random
import types

from citronvalve.model import manualclock
from citronvalve.model import refusal
from citronvalve.routes import modelspec
from tests.replicas import world as worlds
from tests.work import daemons
from tests.work import engine as engines
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
    :ivar calls: all calls, in the order of their arrival.
    :ivar free: runners without a group at each plan.
    :ivar counts: open replicas by model at each plan.
    :ivar sent_locally: requests by whether their replica was in the daemon's
        data centre.
    :ivar daemons: the daemons.
    :ivar on_send: called with the head and the engine that a request is sent
        to.
    """

    def __init__(self, work, seed):
        self.work = work
        self.rng = random.Random(seed)
        self.clock = manualclock.ManualClock()
        self._serial = itertools.count()
        self._due = []
        self.calls = []
        self.free = []
        self.counts = []
        self.sent_locally = collections.Counter()
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
            weight_loads_per_second=14.0,
            max_concurrent_loads=20,
            typical_prompt_tokens=sum(tokens) // len(tokens),
        )
        for domain in range(work.domains):
            for number in range(work.domain_size):
                self._add_runner(f"r{domain}-{number}", domain, True, number)
        self.spec = worlds.spec(models)._replace(**self.world.figures)
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
        self._reports = daemons.Reports(self.daemons, work.report_steps)
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

    def _rate(self, kind, number):
        elapsed = self.clock.now() - self.begin
        phase = number / self.work.datacentres
        turn = 2 * math.pi * (elapsed / self.work.swing_period + phase)
        rate = kind.rate / self.work.datacentres
        for burst in self.work.bursts:
            if burst.kind == kind.name and burst.begin <= elapsed < burst.end:
                rate *= burst.factor
        return rate * (1 + self.work.swing * math.sin(turn))

    def _arrive_later(self, kind, number):
        rate = self._rate(kind, number)
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
                latency_objective=kind.objective, timeout=kind.timeout
            ),
            request=types.SimpleNamespace(arrived_at=now),
        )
        if now >= routed.deadline:
            call.result = "lost"
            return
        chosen = daemon.placement.place(routed, call.tried)
        if isinstance(chosen, refusal.Refusal):
            self._refuse(call, chosen)
            return
        self._send(daemon, call, chosen)

    def _refuse(self, call, refused):
        if call.retried:
            call.result = "refused"
            return
        call.retried = True
        call.tried = []
        at = self.clock.now() + refused.retry_after + 2 * _CALLER_LATENCY
        self._schedule(at, lambda: self._place(call))

    def _send(self, daemon, call, chosen):
        head = self.world.runner_by_id[chosen.upstream]
        self.sent_locally[head.datacentre == daemon.datacentre] += 1
        load = daemon.loads.of(chosen.upstream)
        load.own += 1
        load.late += chosen.late
        call.tried.append(chosen.upstream)
        engine = self.engine_by_head.get(chosen.upstream)
        job = engines.Job(
            (call, daemon, chosen), call.prompt, call.events, chosen.late
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
        call, daemon, chosen = job.call
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
        _, daemon, chosen = job.call
        load = daemon.loads.of(chosen.upstream)
        load.own -= 1
        load.late -= chosen.late

    def _end(self, job):
        call, daemon, chosen = job.call
        self._release(job)
        head = self.world.runner_by_id[chosen.upstream]
        remote = head.datacentre != daemon.datacentre
        latency = _CALLER_LATENCY + (self.work.remote_latency if remote else 0)
        call.first = job.first_at - call.arrived_at + 2 * latency
        in_time = (
            call.first <= call.kind.objective
            and job.largest_gap <= call.kind.gap_objective
        )
        call.result = "in_time" if in_time else "late"

    # Replicas.

    def _tick_planner(self):
        world, now = self.world, self.clock.now()
        load = {name: 0.0 for name in world.models}
        for head, engine in self.engine_by_head.items():
            if not engine.stalled:
                load[self._key_by_head[head].model] += len(engine.jobs)
        world.planner.demand.observe(load, now)
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
        for model in self.work.models:
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

    def _crash_member(self, head):
        members = self.world.members(head)
        if not self.work.heads_too and len(members) > 1:
            members.remove(head)
        victim = self.rng.choice(members)
        self.world.crash(victim)
        self.world.unlisted.add(victim)
        engine = self.engine_by_head.get(head)
        if engine is None:
            return
        engine.stalled = True
        for job in engine.jobs:
            self._fail_later(job)

    def _set_out(self, datacentre):
        self._out = datacentre

    def _tick_reports(self):
        now = self.clock.now()
        self._reports.send(now)
        if now < self.end:
            self._schedule(now + self._reports.interval, self._tick_reports)
