"""What one daemon's work costs among 195 daemons and 875 runners."""

from collections.abc import Callable
from collections.abc import Iterator
import random
import time

from benchmarks import figure
from citronvalve.forward import directory as directories
from citronvalve.peers import distributor
from citronvalve.peers import messagecodec
from citronvalve.peers import messages
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner as runners
from tests.replicas import world

_RUNNERS = 875
_REPLICAS = 219
_DATACENTRES = 5
_LOCAL_DAEMONS = 39
_REPEATS = 200
_US = 1_000_000


def run() -> Iterator[figure.Figure]:
    """Yield the cost of each kind of work."""
    for name, work in (
        ("a runner of 875 changes", _runner_change()),
        ("placing among 219 nearly idle replicas", _placing(1)),
        ("placing among 219 busy replicas", _placing(9)),
        ("a sum of 219 upstreams arrives", _sum_arrival()),
        ("sums of 219 upstreams for 38 daemons", _sums()),
    ):
        yield figure.Figure(name, _cost(work), "us")


def _cost(work: Callable[[int], None]) -> float:
    began = time.process_time()
    for number in range(_REPEATS):
        work(number)
    return (time.process_time() - began) / _REPEATS * _US


def _runner_change() -> Callable[[int], None]:
    directory = directories.Directory("place-0")
    for number in range(_RUNNERS):
        directory.update_runner(_runner(number, 1))
    return lambda n: directory.update_runner(_runner(n % 7, n + 2)) and None


def _runner(number: int, version: int) -> runners.Runner:
    place = f"place-{number % _DATACENTRES}"
    name = f"r-{number}"
    return runners.Runner(name, "s", "10.0.0.1:1", place, list_version=version)


def _placing(requests: int) -> Callable[[int], None]:
    spec = world.spec()
    pace = enginepace.EnginePace(spec, 0.6)
    loads = upstreamchoice.LoadTable()
    candidates = [
        upstreamchoice.Candidate(
            f"r-{n}", 13, float(n % _DATACENTRES > 0), n % _DATACENTRES == 0
        )
        for n in range(_REPLICAS)
    ]
    counts = {c.upstream: (requests, 0) for c in candidates}
    loads.remote_loads.record("coordinator", counts, 0)
    choice = upstreamchoice.UpstreamChoice(loads, random.Random(3))
    job = upstreamchoice.Job(674, 220, 240.0, 900.0)
    return lambda _: choice.choose(job, candidates, pace, 0) and None


def _sum_arrival() -> Callable[[int], None]:
    receiver = _distributor("d-1")
    counts = {f"r-{n}": (3, 0) for n in range(_REPLICAS)}
    sender = receiver.topology.coordinator(0)
    loads = messages.OtherLoads(sender, 194, counts)
    codec = messagecodec.MessageCodec()
    data = codec.encode(loads)
    return lambda _: receiver.apply_other_loads(codec.decode(data), 0)


def _sums() -> Callable[[int], None]:
    sender = _distributor("d-0")
    for number in range(1, _LOCAL_DAEMONS):
        counts = {
            f"r-{(number * 6 + n) % _REPLICAS}": (1, 0) for n in range(6)
        }
        report = messages.DaemonLoads(f"d-{number}", counts, 1)
        sender.apply_daemon_loads(report, 0)
    codec = messagecodec.MessageCodec()

    def send(_: int) -> None:
        last = None
        for _name, message in sender.load_sums(0):
            if message is not last:
                codec.encode(message)
            last = message

    return send


def _distributor(name: str) -> distributor.Distributor:
    made = distributor.Distributor(name, "place-0", upstreamchoice.LoadTable())
    made.set_daemons(
        {
            f"d-{n}": f"place-{n // _LOCAL_DAEMONS}"
            for n in range(_LOCAL_DAEMONS * _DATACENTRES)
        }
    )
    return made
