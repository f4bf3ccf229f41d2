"""Simulated replicas of one model and the daemons that place requests.

A replica follows its engine's figures: steps slow down with the number of
decoding requests, requests wait for a slot, and prompts are prefilled in
between.  Each of six daemons knows its own requests exactly, and those of
the others from their messages and from the load reported with an answer.
"""

import random

from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice
from tests.replicas import world as engines

TICK = 5
DAEMONS = 6
BROADCAST_INTERVAL = 150
#: A caller leaves after this time without a first event.
CALLER_TIMEOUT = 2_000
PATIENCE = 900.0
PATIENCE_AFTER_RETRY = 1_500.0
MIN_RETRY_DELAY = 250


class Request:
    """One request and its progress."""

    def __init__(self, at, objective, answer, prompt):
        self.arrived_at = at
        self.objective = objective
        self.answer = answer
        self.prompt = prompt
        self.first_event_at = None
        self.ended_at = None
        self.refusals = 0
        self.late = False
        self.placed_at = at
        self.events_left = 0
        self.abandoned = False

    @property
    def on_time(self):
        """Return whether its first event met the objective."""
        return self.first_event_at is not None and (
            self.first_event_at - self.arrived_at <= self.objective
        )


class Replica:
    """One replica; ``slowdown`` is a factor on its times."""

    def __init__(self, name, pace):
        self.name = name
        self.pace = pace
        self.slowdown = 1.0
        self.queued = []
        self.running = []

    def load(self):
        """Return the numbers of running and queued requests."""
        return len(self.running), len(self.queued)

    def step(self, now, slots, on_first_event):
        """Admit requests and send the events that are due."""
        # The engine admits by rank, and within a rank by arrival.
        self.queued.sort(
            key=lambda request: (request.late, request.arrived_at)
        )
        while self.queued and len(self.running) < slots:
            request = self.queued.pop(0)
            prefill = self.pace.prefill_time(request.prompt) * self.slowdown
            gap = self.pace.event_gap(len(self.running) + 1) * self.slowdown
            self.running.append([request, now + prefill + 1.5 * gap])
        for entry in list(self.running):
            request, due = entry
            if now < due:
                continue
            gap = self.pace.event_gap(len(self.running)) * self.slowdown
            if request.first_event_at is None:
                request.first_event_at = now
                on_first_event(request, self)
                request.events_left = max(0, request.answer // 6 - 1)
            else:
                request.events_left -= 1
            if request.events_left <= 0:
                request.ended_at = now
                self.running.remove(entry)
            else:
                entry[1] = due + gap


class World:
    """A model's replicas, the daemons that place requests, and callers."""

    def __init__(
        self,
        replicas,
        model="small",
        seed=11,
        random_placement=False,
        broadcast=True,
        more_patience=True,
        broadcast_interval=BROADCAST_INTERVAL,
    ):
        spec = engines.spec()
        self.spec = spec
        self.pace = enginepace.EnginePace(
            spec, spec.model_by_name[model].time_factor
        )
        self.rng = random.Random(seed)
        self.caller_rng = random.Random(seed)
        self.random_placement = random_placement
        self.broadcast = broadcast
        self.more_patience = more_patience
        self.broadcast_interval = broadcast_interval
        self.returning = []
        self.now = 10_000
        self.replicas = {
            f"r{n}": Replica(f"r{n}", self.pace) for n in range(replicas)
        }
        self.load_tables = [upstreamchoice.LoadTable() for _ in range(DAEMONS)]
        self.choosers = [
            upstreamchoice.UpstreamChoice(load_table, self.rng)
            for load_table in self.load_tables
        ]
        self.daemon_by_request = {}
        self.requests = []

    def run(self, seconds, rate, objective=250, answer=186, prompt=674):
        """Generate requests for some seconds; ``rate`` depends on time."""
        end = self.now + seconds * 1_000
        start = self.now
        while self.now < end:
            per_s = rate((self.now - start) / 1_000)
            for _ in range(self._arrivals(per_s)):
                size = max(6, round(self.caller_rng.gauss(answer, answer / 2)))
                request = Request(self.now, objective, size, prompt)
                self.requests.append(request)
                self._place(request)
            self._step()
        for _ in range(4_000 // TICK):
            self._step()

    def share_on_time(self):
        """Return the share of requests with their first event in time."""
        on_time = sum(request.on_time for request in self.requests)
        return on_time / len(self.requests)

    def share_refused(self):
        """Return the share of requests that were rejected."""
        refused = sum(request.refusals > 0 for request in self.requests)
        return refused / len(self.requests)

    def share_refused_twice(self):
        """Return the share of requests that were rejected on a retry."""
        twice = sum(request.refusals > 1 for request in self.requests)
        return twice / len(self.requests)

    def mean_worth(self):
        """Return the mean worth: 1 in time, a quarter late, else nothing."""
        late = sum(
            request.ended_at is not None and not request.on_time
            for request in self.requests
        )
        return self.share_on_time() + 0.25 * late / len(self.requests)

    def _arrivals(self, per_s):
        mean = per_s * TICK / 1_000
        count = 0
        while self.caller_rng.random() < mean - count:
            count += 1
        return count

    def _place(self, request):
        daemon = self.caller_rng.randrange(DAEMONS)
        if self.random_placement:
            name = self.rng.choice(list(self.replicas))
        else:
            candidates = [
                upstreamchoice.Candidate(name, self.spec.slots, 0.5, True)
                for name in self.replicas
            ]
            job = upstreamchoice.Job(
                request.prompt,
                request.answer,
                0.8 * request.objective - (self.now - request.arrived_at),
                PATIENCE_AFTER_RETRY
                if request.refusals and self.more_patience
                else PATIENCE,
            )
            chosen = self.choosers[daemon].choose(
                job, candidates, self.pace, self.now
            )
            if isinstance(chosen, upstreamchoice.Full):
                request.refusals += 1
                if request.refusals == 1:
                    spread = self.rng.uniform(1.0, 1.5)
                    delay = max(MIN_RETRY_DELAY, chosen.retry_in) * spread
                    self.returning.append((self.now + delay, request))
                return
            name = chosen.upstream
            request.late = chosen.late
        self.load_tables[daemon].of(name).late += request.late
        self.daemon_by_request[request] = daemon
        request.placed_at = self.now
        self.load_tables[daemon].of(name).own += 1
        self.replicas[name].queued.append(request)

    def _broadcast_loads(self):
        for sender, load_table in enumerate(self.load_tables):
            for other in self.load_tables:
                if other is load_table:
                    continue
                counts = {
                    name: (load_table.of(name).own, load_table.of(name).late)
                    for name in self.replicas
                }
                other.remote_loads.record(str(sender), counts, self.now)

    def _abandon_requests(self, replica):
        for request in list(replica.queued):
            if self.now - request.placed_at > CALLER_TIMEOUT:
                replica.queued.remove(request)
                request.abandoned = True
                load = self.load_tables[self.daemon_by_request[request]].of(
                    replica.name
                )
                load.own -= 1
                load.late -= request.late

    def _step(self):
        for due, request in [
            entry for entry in self.returning if entry[0] <= self.now
        ]:
            self.returning.remove((due, request))
            self._place(request)
        if self.broadcast and self.now % self.broadcast_interval < TICK:
            self._broadcast_loads()
        for replica in self.replicas.values():
            self._abandon_requests(replica)
            before = {entry[0] for entry in replica.running}
            replica.step(self.now, self.spec.slots, self._record_first_event)
            after = {entry[0] for entry in replica.running}
            for request in before - after:
                if request.ended_at is not None:
                    load_table = self.load_tables[
                        self.daemon_by_request[request]
                    ]
                    load_table.of(replica.name).own -= 1
        self.now += TICK

    def _record_first_event(self, request, replica):
        load_table = self.load_tables[self.daemon_by_request[request]]
        load_table.of(replica.name).late -= request.late
        running, queued = replica.load()
        load_table.of(replica.name).record_report(running, queued, self.now)
