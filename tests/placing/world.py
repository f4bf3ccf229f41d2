"""Replicas in memory under the placing of several daemons.

A replica keeps its engine's own figures: steps slow down with the requests
that write, a request waits for a place, prompts are read in between.  Six
daemons place on what they know: their own requests exactly, the others' from
the load that came with an answer.
"""

import random

from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice
from citronvalve.policy import upstreamload
from tests.replicas import world as engines

TICK = 5
DAEMONS = 6
TOLD_EVERY = 150
LEAVES_AFTER = 2_000
LATE = 900.0
LATE_RETURN = 1_500.0
SOONEST = 250


class Request:
    """One request on its way."""

    def __init__(self, at, objective, answer, prompt):
        self.at = at
        self.objective = objective
        self.answer = answer
        self.prompt = prompt
        self.first = None
        self.end = None
        self.refused = 0
        self.late = False
        self.placed_at = at
        self.left = 0
        self.gone = False

    @property
    def on_time(self):
        """Tell whether its first event came within the objective."""
        return self.first is not None and (
            self.first - self.at <= self.objective
        )


class Replica:
    """One replica; ``slow`` is a factor on its times."""

    def __init__(self, name, pace):
        self.name = name
        self.pace = pace
        self.slow = 1.0
        self.waiting = []
        self.running = []

    def load(self):
        """Return running and waiting."""
        return len(self.running), len(self.waiting)

    def step(self, now, slots, told):
        """Pass some time."""
        # The engine admits by rank, and those of one rank as they came.
        self.waiting.sort(key=lambda one: (one.late, one.at))
        while self.waiting and len(self.running) < slots:
            one = self.waiting.pop(0)
            reading = self.pace.prefill_time(one.prompt) * self.slow
            gap = self.pace.event_gap(len(self.running) + 1) * self.slow
            self.running.append([one, now + reading + 1.5 * gap])
        for entry in list(self.running):
            one, due = entry
            if now < due:
                continue
            gap = self.pace.event_gap(len(self.running)) * self.slow
            if one.first is None:
                one.first = now
                told(one, self)
                one.left = max(0, one.answer // 6 - 1)
            else:
                one.left -= 1
            if one.left <= 0:
                one.end = now
                self.running.remove(entry)
            else:
                entry[1] = due + gap


class World:
    """A model's replicas, the daemons before them, and their callers."""

    def __init__(
        self,
        replicas,
        model="small",
        seed=11,
        naive=False,
        tell=True,
        patient=True,
        told_every=TOLD_EVERY,
    ):
        spec = engines.spec()
        self.spec = spec
        self.pace = enginepace.EnginePace(
            spec, spec.model_by_name[model].time_factor
        )
        self.chance = random.Random(seed)
        self.callers = random.Random(seed)
        self.naive = naive
        self.tell = tell
        self.patient = patient
        self.told_every = told_every
        self.back = []
        self.now = 10_000
        self.replicas = {
            f"r{n}": Replica(f"r{n}", self.pace) for n in range(replicas)
        }
        self.books = [upstreamchoice.LoadTable() for _ in range(DAEMONS)]
        self.choices = [
            upstreamchoice.UpstreamChoice(book, self.chance)
            for book in self.books
        ]
        self.placed = {}
        self.requests = []

    def run(self, seconds, rate, objective=250, answer=186, prompt=674):
        """Bring callers for some seconds; ``rate`` may depend on time."""
        until = self.now + seconds * 1_000
        began = self.now
        while self.now < until:
            per_s = rate((self.now - began) / 1_000)
            for _ in range(self._arrivals(per_s)):
                size = max(6, round(self.callers.gauss(answer, answer / 2)))
                one = Request(self.now, objective, size, prompt)
                self.requests.append(one)
                self._place(one)
            self._step()
        for _ in range(4_000 // TICK):
            self._step()

    def share_on_time(self):
        """Return the part of all requests that were in time."""
        good = sum(one.on_time for one in self.requests)
        return good / len(self.requests)

    def share_refused(self):
        """Return the part that was refused."""
        refused = sum(one.refused > 0 for one in self.requests)
        return refused / len(self.requests)

    def share_refused_twice(self):
        """Return the part that came back and was refused again."""
        again = sum(one.refused > 1 for one in self.requests)
        return again / len(self.requests)

    def worth(self):
        """Return the mean worth: 1 in time, a quarter late, else nothing."""
        late = sum(
            one.end is not None and not one.on_time for one in self.requests
        )
        return self.share_on_time() + 0.25 * late / len(self.requests)

    def _arrivals(self, per_s):
        mean = per_s * TICK / 1_000
        count = 0
        while self.callers.random() < mean - count:
            count += 1
        return count

    def _place(self, one):
        daemon = self.callers.randrange(DAEMONS)
        if self.naive:
            name = self.chance.choice(list(self.replicas))
        else:
            found = [
                upstreamchoice.Candidate(name, self.spec.slots, 0.5, True)
                for name in self.replicas
            ]
            job = upstreamchoice.Job(
                one.prompt,
                one.answer,
                0.8 * one.objective - (self.now - one.at),
                LATE_RETURN if one.refused and self.patient else LATE,
            )
            chosen = self.choices[daemon].choose(
                job, found, self.pace, self.now
            )
            if isinstance(chosen, upstreamchoice.Full):
                one.refused += 1
                if one.refused == 1:
                    spread = self.chance.uniform(1.0, 1.5)
                    stay = max(SOONEST, chosen.retry_in) * spread
                    self.back.append((self.now + stay, one))
                return
            name = chosen.upstream
            one.late = chosen.late
        self.books[daemon].of(name).late += one.late
        self.placed[one] = daemon
        one.placed_at = self.now
        self.books[daemon].of(name).own += 1
        self.replicas[name].waiting.append(one)

    def _tell(self):
        for sender, book in enumerate(self.books):
            for other in self.books:
                if other is book:
                    continue
                for name in self.replicas:
                    held = book.of(name)
                    other.of(name).remote_load_by_daemon[str(sender)] = (
                        upstreamload.RemoteLoad(held.own, held.late, self.now)
                    )

    def _leave(self, replica):
        # A caller leaves after two seconds without a first event.
        for one in list(replica.waiting):
            if self.now - one.placed_at > LEAVES_AFTER:
                replica.waiting.remove(one)
                one.gone = True
                held = self.books[self.placed[one]].of(replica.name)
                held.own -= 1
                held.late -= one.late

    def _step(self):
        for due, one in [entry for entry in self.back if entry[0] <= self.now]:
            self.back.remove((due, one))
            self._place(one)
        if self.tell and self.now % self.told_every < TICK:
            self._tell()
        for replica in self.replicas.values():
            self._leave(replica)
            before = {entry[0] for entry in replica.running}
            replica.step(self.now, self.spec.slots, self._told)
            after = {entry[0] for entry in replica.running}
            for one in before - after:
                if one.end is not None:
                    book = self.books[self.placed[one]]
                    book.of(replica.name).own -= 1
        self.now += TICK

    def _told(self, one, replica):
        book = self.books[self.placed[one]]
        book.of(replica.name).late -= one.late
        running, waiting = replica.load()
        book.of(replica.name).record_report(running, waiting, self.now)
