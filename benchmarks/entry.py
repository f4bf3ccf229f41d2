"""What requests cost a real daemon: processor time, memory, refusals.

The callers and the engine are other processes or threads; only the
daemon's own time is counted, as the kernel counts it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import pathlib
import statistics
import tempfile
import time

from benchmarks import figure
from benchmarks import procstat
from standins import deployment as deployments
from standins import fleet as fleets

_CALLERS = 16
_REQUESTS = 1_500
_STREAMS = (0, 50, 100, 200)
_STREAM_TOKENS = 400
_REFUSALS = 400
_US = 1e6
_MS = 1e3


def run() -> Iterator[figure.Figure]:
    """Yield the figures of one daemon before one engine."""
    with deployed("--token-time=0", "--first-time=1") as (made, pid):
        yield from _requests(made, pid)
        yield from _refusals(made)
    with deployed("--token-time=50", "--first-time=50") as (made, pid):
        yield from _memory(made, pid)


@contextlib.contextmanager
def deployed(*options: str) -> Iterator[tuple[deployments.Deployment, int]]:
    """Start one daemon before one engine; give them and the daemon's id.

    :param options: of the engine's command line.
    """
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            made = deployments.Deployment(fleet, ("sapporo",))
            made.engine("vm-1", "sapporo", "--slots=4000", *options)
            made.records("records-1", "sapporo", "--work-time=1")
            made.declaration["upstreams"]["vm-1"]["slots"] = 4_000
            made.declaration["upstreams"]["vm-1"]["cold_slots"] = 4_000
            made.daemons(1)
            made.start()
            yield made, fleet.process_by_name["daemon-0"].pid


def _cpu_each(pid: int, count: int, act: Callable[[], object]) -> float:
    with concurrent.futures.ThreadPoolExecutor(_CALLERS) as pool:
        began = procstat.cpu_seconds(pid)
        done = [pool.submit(act) for _ in range(count)]
        for one in done:
            one.result()
        return (procstat.cpu_seconds(pid) - began) / count * _US


def _requests(
    made: deployments.Deployment, pid: int
) -> Iterator[figure.Figure]:
    caller = made.caller()
    few = _cpu_each(pid, _REQUESTS, lambda: _ask(caller, 1))
    many = _cpu_each(pid, _REQUESTS // 5, lambda: _ask(caller, 101))
    yield figure.Figure("cpu a request of 1 token", few, "us")
    yield figure.Figure("cpu a further token", (many - few) / 100, "us")
    calls = _cpu_each(pid, _REQUESTS, lambda: caller.call("GET", "records/x"))
    yield figure.Figure("cpu a plain call", calls, "us")
    refused = _cpu_each(pid, _REQUESTS, lambda: caller.chat("no-model", "x"))
    yield figure.Figure("cpu a refusal", refused, "us")


def _ask(caller, tokens: int) -> None:
    seen = caller.chat(deployments.MODEL, "question", tokens=tokens)
    if not seen.whole:
        raise RuntimeError(f"not whole: {seen}")


def _refusals(made: deployments.Deployment) -> Iterator[figure.Figure]:
    caller = made.caller()
    took = []
    for _ in range(_REFUSALS):
        began = time.perf_counter()
        caller.chat("no-model", "x")
        took.append((time.perf_counter() - began) * _MS)
    p99 = statistics.quantiles(took, n=100)[98]
    yield figure.Figure("a refusal reaches its caller, p99", p99, "ms")


def _memory(made: deployments.Deployment, pid: int) -> Iterator[figure.Figure]:
    resident = {}
    for count in _STREAMS:
        with concurrent.futures.ThreadPoolExecutor(max(1, count)) as pool:
            done = [
                pool.submit(
                    made.caller().chat,
                    deployments.MODEL,
                    f"stream {n}",
                    tokens=_STREAM_TOKENS,
                    deadline=60_000,
                )
                for n in range(count)
            ]
            while fleets.status(made.addresses())["in_progress"] < count:
                time.sleep(0.05)
            resident[count] = procstat.resident_bytes(pid)
            for one in done:
                one.result()
    first, last = _STREAMS[0], _STREAMS[-1]
    slope = (resident[last] - resident[first]) / (last - first)
    yield figure.Figure("resident, idle", resident[first] / 2**20, "MiB")
    yield figure.Figure("resident a stream", slope / 2**10, "KiB")
