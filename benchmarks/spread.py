"""Spreading and control traffic, up to 31 data centres of 52 daemons."""

from collections.abc import Iterator
import random
import tracemalloc

from benchmarks import figure
from benchmarks import peerfleet
from citronvalve.model import clock
from citronvalve.peers import change
from citronvalve.peers import tabledelta
from standins import memorylinks

_DATACENTRES = 31
_MEMBERS = 52
_LOSS = 0.05
_EDITS = 3
_STEP: clock.Ms = 50
_GIVE_UP: clock.Ms = 30_000
_SECONDS = 10
_SIZES = (8, 16, 32, 52)
_UPSTREAMS = (10, 100, 400)


def _spread(links: memorylinks.Links, version: int) -> list[clock.Ms]:
    """Let one daemon read an edit; return when each daemon had it."""
    first = links.rng.choice(sorted(links.node_by_name))
    row = change.Change("table", f"teams/t{version}", version, b"v" * 200)
    links.node_by_name[first].core.publish_table(
        tabledelta.TableDelta(version, version - 1, (row,))
    )
    began = links.clock.now()
    left = set(links.node_by_name)
    took = []
    while left and links.clock.now() - began < _GIVE_UP:
        links.run(_STEP)
        there = {
            name
            for name in left
            if links.node_by_name[name].core.state.table.version >= version
        }
        took += [links.clock.now() - began] * len(there)
        left -= there
    return took + [_GIVE_UP] * len(left)


def _whole() -> Iterator[figure.Figure]:
    links = memorylinks.Links(random.Random(1), loss=_LOSS)
    peerfleet.start(links, _DATACENTRES, _MEMBERS)
    links.run(3 * clock.SECOND)
    took = []
    for version in range(1, _EDITS + 1):
        took += _spread(links, version)
    took.sort()
    name = (
        f"an edit read by one daemon, spread over {_DATACENTRES} data"
        f" centres of {_MEMBERS}, {_LOSS:.0%} loss"
    )
    for share in (0.5, 0.99):
        yield figure.Figure(
            f"{name}, p{share * 100:.0f}", took[int(share * len(took))], "ms"
        )
    yield figure.Figure(f"{name}, worst of {len(took)}", took[-1], "ms")


def _control() -> Iterator[figure.Figure]:
    for members in _SIZES:
        for upstreams in _UPSTREAMS:
            yield from _one(members, upstreams)


def _one(members: int, upstreams: int) -> Iterator[figure.Figure]:
    name = f"{members} members, {upstreams} upstreams"
    cost, ages = peerfleet.cost(members, upstreams, _SECONDS)
    yield figure.Figure(
        f"{name}: CPU of the peers' logic and codec",
        cost.cpu * 100,
        "% of a core a daemon",
    )
    yield figure.Figure(
        f"{name}: messages sent", cost.messages, "1/s a daemon"
    )
    yield figure.Figure(
        f"{name}: sent and received",
        (cost.sent + cost.received) / 1_000,
        "KB/s a daemon",
    )
    yield figure.Figure(
        f"{name}: age of a load, p99", ages[int(0.99 * len(ages))], "ms"
    )


def _memory() -> Iterator[figure.Figure]:
    for upstreams in _UPSTREAMS:
        tracemalloc.start()
        links = memorylinks.Links(random.Random(1))
        mates = peerfleet.start(links, 1, _MEMBERS)["dc00"]
        for _ in range(5):
            peerfleet.tell_loads(links, mates, upstreams, links.rng)
            links.run(clock.SECOND)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        yield figure.Figure(
            f"{_MEMBERS} members, {upstreams} upstreams: the peers' state",
            size / _MEMBERS / 1_000,
            "KB a daemon",
        )


def run() -> Iterator[figure.Figure]:
    """Yield how far edits and loads travel, and at what cost."""
    yield from _control()
    yield from _memory()
    yield from _whole()
