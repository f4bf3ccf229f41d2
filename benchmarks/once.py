"""What the record of keyed requests costs, and what batches are worth.

Eight daemons' writers run on a seeded clock before a store that takes 300
transactions a second; each answer takes one round trip besides.
"""

from collections.abc import Iterator
import random
import statistics
import time
from typing import NamedTuple

import msgspec

from benchmarks import figure
from citronvalve.model import invariant
from citronvalve.once import batch as batches
from citronvalve.once import change as changes
from citronvalve.once import changeresult
from citronvalve.once import record
from citronvalve.once import response
from citronvalve.once import state
from citronvalve.once import storedresponse
from citronvalve.once import writer
from standins import memorytable

_DAEMONS = 8
_STORE_WRITES = 300
_SECONDS = 10
_SERVICE = 20
_SEED = 6
_TARGET = 3_000
_BODY = b"x" * 2_000


class Load(NamedTuple):
    """One run: keyed requests a second, round trip of the store in ms."""

    requests: int
    trip: int


class Outcome(NamedTuple):
    """What a run gave; waits of claims and the store's trips in ms."""

    recorded: int
    waits: list[int]
    trips: list[int]
    cpu: float
    rows: int
    row_bytes: float

    def wait(self, share: float) -> float:
        """Return a quantile of the waits.

        :param share: 0 to 1.
        """
        return sorted(self.waits)[int(share * (len(self.waits) - 1))]


class _Daemon:
    def __init__(self, name: str) -> None:
        checks = invariant.Invariants()
        rate = _STORE_WRITES / _DAEMONS
        self.writer = writer.Writer(name, rate, 0, checks)
        self.sent: tuple[int, batches.Batch] | None = None


class _Simulation:
    """Moves ms by ms; only the writers' own time counts as cost."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._chance = random.Random(_SEED)
        self._daemons = [_Daemon(f"d{n}") for n in range(_DAEMONS)]
        self._table = memorytable.MemoryTable()
        self._free_at = 0.0
        self._asked_at: dict[str, int] = {}
        self._due: dict[int, list[tuple[_Daemon, changes.Change]]] = {}
        self._waits: list[int] = []
        self._trips: list[int] = []
        self._recorded = 0
        self._cpu = 0.0

    def run(self) -> Outcome:
        for now in range(_SECONDS * 1_000):
            self._arrive(now)
            for daemon, job in self._due.pop(now, ()):
                daemon.writer.submit(job)
            for daemon in self._daemons:
                self._step(daemon, now)
        rows = self._table.scan(record.TABLE).rows
        size = statistics.mean(len(msgspec.json.encode(r)) for r in rows)
        return Outcome(
            self._recorded,
            self._waits,
            self._trips,
            self._cpu,
            len(rows),
            size,
        )

    def _arrive(self, now: int) -> None:
        mean = self._load.requests / 1_000
        due = int(mean) + (self._chance.random() < mean % 1)
        for _ in range(due):
            number = len(self._asked_at)
            row = record.Record(
                "0" * 64, f"a{number}", state.State.PENDING, now + 20_000
            )
            self._asked_at[row.attempt] = now
            daemon = self._chance.choice(self._daemons)
            daemon.writer.submit(changes.claim(f"team/key-{number}", row))

    def _step(self, daemon: _Daemon, now: int) -> None:
        if daemon.sent and daemon.sent[0] <= now:
            self._settle(daemon, now)
        began = time.process_time()
        taken = daemon.writer.next_batch(now, now)
        self._cpu += time.process_time() - began
        if taken:
            start = max(now, self._free_at)
            self._free_at = start + 1_000 / _STORE_WRITES
            back = round(start) + self._load.trip
            self._trips.append(back - now)
            daemon.sent = (back, taken)

    def _settle(self, daemon: _Daemon, now: int) -> None:
        taken = daemon.sent[1]
        daemon.sent = None
        began = time.process_time()
        sent = batches.transaction(taken)
        self._cpu += time.process_time() - began
        result = self._table.commit(sent)
        began = time.process_time()
        ends = daemon.writer.settle(taken, result, now)
        self._cpu += time.process_time() - began
        for end in ends:
            self._end(daemon, end, now)

    def _end(
        self, daemon: _Daemon, end: changeresult.ChangeResult, now: int
    ) -> None:
        if isinstance(end.outcome, changeresult.Applied):
            self._recorded += 1
            return
        self._waits.append(now - self._asked_at[end.change.attempt_id])
        sent = response.Response(201, "text/plain", _BODY)
        done = end.change.record._replace(
            state=state.State.DONE,
            kept=storedresponse.StoredResponse(
                *sent[:2], storedresponse.BodyLocation.ROW, sent.body
            ),
        )
        finish = changes.Change(
            changes.ChangeKind.FINISH,
            end.change.row_key,
            end.change.attempt_id,
            done,
            end.outcome.version,
        )
        self._due.setdefault(now + _SERVICE, []).append((daemon, finish))


def run() -> Iterator[figure.Figure]:
    """Yield throughput, waits, cost and rows."""
    yield from _throughput()
    for trip in (10, 30):
        for requests in (80, 800, _TARGET):
            yield from _waits(Load(requests, trip))


def _throughput() -> Iterator[figure.Figure]:
    batched = _Simulation(Load(_TARGET * 5 // 4, 10)).run()
    # Two writes a request: half of the store's rate is all there is.
    most, batches.MAX_CHANGES = batches.MAX_CHANGES, 1
    try:
        single = _Simulation(Load(_STORE_WRITES // 2, 10)).run()
    finally:
        batches.MAX_CHANGES = most
    rate = batched.recorded / _SECONDS
    yield figure.Figure(
        "keyed requests a second at 300 writes a second, beside one a write",
        rate,
        "1/s",
        single.recorded / _SECONDS,
    )
    cost = batched.cpu / batched.recorded * 1e6
    yield figure.Figure("cpu a keyed request in the writer", cost, "us")
    yield figure.Figure(
        "rows kept a keyed request", batched.rows / len(batched.waits), "rows"
    )
    yield figure.Figure(
        "size of a row with an answer of 2 kB", batched.row_bytes, "bytes"
    )


def _waits(load: Load) -> Iterator[figure.Figure]:
    # An unkeyed call waits for nothing, so that all of this is added.  The
    # baseline is the mean trip of the run: a store near its limit queues.
    seen = _Simulation(load).run()
    trip = statistics.mean(seen.trips)
    for share in (0.5, 0.99):
        yield figure.Figure(
            f"p{share * 100:.0f} added at {load.requests}/s, store of"
            f" {load.trip} ms idle, beside its mean round trip",
            seen.wait(share),
            "ms",
            round(trip, 1),
        )
