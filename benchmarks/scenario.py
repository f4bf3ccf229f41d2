"""The loads that the decisions are put through, as a table."""

import collections.abc
import random
from typing import NamedTuple

from benchmarks import fakes
from benchmarks import world
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.policy import work

#: Three data centres of four upstreams of eight slots, six daemons.
_PLACES = ("a", "b", "c")
_EACH = 4
_SLOTS = 8
_DAEMONS = 6
_TEAMS = 10
SLOTS = len(_PLACES) * _EACH * _SLOTS


class Size(NamedTuple):
    """A kind of work: share of requests, lengths, mean service in ms."""

    share: float
    prompt: int
    output: int
    service: clock.Ms


_SHORT = Size(1.0, 300, 60, 1_000)
_MIXED = (Size(0.9, 300, 30, 400), Size(0.1, 2_000, 600, 8_000))


class Scenario(NamedTuple):
    """One load; ``load`` is in times of the capacity.

    ``burst`` multiplies it from second 10 to 15.  ``heavy`` is the share
    of requests that the first team sends.  ``event`` names a fault.
    """

    name: str
    load: float = 0.7
    span: clock.Ms = 40_000
    burst: float = 1.0
    heavy: float = 0.1
    lag: clock.Ms = 1_000
    sizes: tuple[Size, ...] = (_SHORT,)
    event: str = ""


SCENARIOS = (
    Scenario("steady at 0.7", 0.7),
    Scenario("burst of 10x for 5 s", 0.4, burst=10.0),
    Scenario("one team sends 80%", 1.1, heavy=0.8),
    Scenario("one team sends 8x its share", 1.5, heavy=0.533),
    Scenario("one upstream 10x slow", 0.7, event="slow"),
    Scenario("long and short at 0.9", 0.9, sizes=_MIXED),
    Scenario("long and short at 1.5", 1.5, sizes=_MIXED),
    Scenario("saturation 2x", 2.0),
    Scenario("saturation 4x", 4.0),
    Scenario("lag 0 s at 0.9", 0.9, lag=0),
    Scenario("lag 1 s at 0.9", 0.9, lag=1_000),
    Scenario("lag 3 s at 0.9", 0.9, lag=3_000),
    Scenario("data centre leaves and returns", 0.6, 60_000, event="shift"),
    Scenario("killer sent ten times", 0.5, event="killer"),
    Scenario("killers with one beginning", 0.5, event="killers"),
    Scenario("upstream falls back cold", 0.7, event="cold"),
)

BY_NAME = {one.name: one for one in SCENARIOS}


def table() -> declared.Declared:
    """Return what operators declare for the scenarios."""
    upstreams = [
        declared.Upstream(
            f"{place}{n}",
            place,
            f"10.0.0.{n}:80",
            declared.UpstreamKind.ENGINE,
            ("m",),
            slots=_SLOTS,
            ramp=15_000,
        )
        for place in _PLACES
        for n in range(_EACH)
    ]
    teams = [declared.Team(f"t{n}", "") for n in range(_TEAMS)]
    return declared.Declared(
        1,
        {team.name: team for team in teams},
        {"m": declared.Model("m")},
        {name: declared.Datacentre(name) for name in _PLACES},
        {row.name: row for row in upstreams},
        {},
        {},
        {},
        declared.Switches(),
    )


def run(one: Scenario, plain: bool, seed: int = 7) -> world.World:
    """Run one scenario and return the world with its records."""
    rng = random.Random(seed)
    made = world.World(table(), _DAEMONS, one.lag, seed, plain)
    if one.event:
        _EVENTS[one.event](made)
    tail = 20_000
    made.run(_calls(one, rng, made.start), one.span + tail)
    return made


def _calls(
    one: Scenario, rng: random.Random, start: clock.Ms
) -> collections.abc.Iterator[world.Call]:
    mean = sum(size.share * size.service for size in one.sizes)
    at = 0.0
    number = 0
    while True:
        bursting = 10_000 <= at < 15_000
        rate = one.load * (one.burst if bursting else 1.0) * SLOTS / mean
        at += rng.expovariate(rate)
        if at >= one.span:
            return
        number += 1
        yield _call(one, rng, start + round(at), f"r{number}")


def _call(
    one: Scenario, rng: random.Random, at: clock.Ms, request: str
) -> world.Call:
    shares = [size.share for size in one.sizes]
    size = rng.choices(one.sizes, shares)[0]
    heavy = rng.random() < one.heavy
    team = 0 if heavy else rng.randrange(1, _TEAMS)
    slack = size.service * rng.uniform(2, 5)
    item = work.Work(
        request,
        f"t{team}",
        "m",
        at + round(slack),
        size.prompt,
        size.output,
        (f"p{team}",),
        request,
    )
    return world.Call(at, item, fakes.spread(rng, size.service))


def _slow(made: world.World) -> None:
    def act() -> None:
        made.upstream_by_name["a0"].pace = 10.0

    made.at(10_000, act)


def _cold(made: world.World) -> None:
    made.at(10_000, lambda: made.chill("a0"))


def _shift(made: world.World) -> None:
    def state(service: declared.ServiceState) -> None:
        rows = dict(made.table.datacentre_by_name)
        rows["a"] = rows["a"]._replace(state=service)
        made.declare(made.table._replace(datacentre_by_name=rows))

    def back() -> None:
        for name, target in made.upstream_by_name.items():
            if name.startswith("a"):
                target.chill(made.now)
        state(declared.ServiceState.IN)

    made.at(10_000, lambda: state(declared.ServiceState.OUT))
    made.at(30_000, back)


def _killer(made: world.World) -> None:
    # Its caller sends it again after each failure, ten times in all.
    for n in range(10):

        def act(n: int = n) -> None:
            item = work.Work(
                f"killer{n}", "t1", "m", made.now + 5_000, 300, 60, (), "k"
            )
            made.arrive(world.Call(made.now, item, 1_000, kills=True))

        made.at(5_000 + 3_000 * n, act)


def _killers(made: world.World) -> None:
    # No two are alike; their prompts begin with the same text.
    for n in range(20):

        def act(n: int = n) -> None:
            item = work.Work(
                f"killer{n}",
                f"t{n % _TEAMS}",
                "m",
                made.now + 5_000,
                300,
                60,
                (f"own{n}", "beginning"),
                f"k{n}",
            )
            made.arrive(world.Call(made.now, item, 1_000, kills=True))

        made.at(5_000 + 1_500 * n, act)


_EVENTS = {
    "slow": _slow,
    "cold": _cold,
    "shift": _shift,
    "killer": _killer,
    "killers": _killers,
}
