"""Steps that send load to daemons that place requests."""

import random
import types

import behave

from citronvalve.forward import directory
from citronvalve.forward import needs
from citronvalve.forward import placement
from citronvalve.model import manualclock
from citronvalve.model import refusal
from citronvalve.policy import upstreamchoice
from tests.placing import world as worlds
from tests.replicas import world as engines


def _steady(rate):
    return lambda _: rate


def _burst(seconds):
    return 44 * (1.7 if 4 <= seconds < 7 else 1.0)


_LOADS = {
    "44 a second on six replicas": (6, _steady(44), 1.0),
    "44 a second, one replica 4x slow": (6, _steady(44), 4.0),
    "44 a second on four replicas": (4, _steady(44), 1.0),
    "a burst of 1.7x for 3 s": (6, _burst, 1.0),
    "66 a second on three replicas": (3, _steady(66), 1.0),
}


def _run(load, random_placement=False, **options):
    replicas, rate, slowdown = _LOADS[load]
    world = worlds.World(
        replicas, random_placement=random_placement, **options
    )
    world.replicas["r0"].slowdown = slowdown
    world.run(12, rate)
    return world


@behave.when('callers send "{load}"')
def step_send(context, load):
    context.load = load
    context.world = _run(load, random_placement=False)


@behave.when("callers send it to daemons that place at random")
def step_random(context):
    context.other = _run(context.load, random_placement=True)


@behave.then(
    "at least {share:g} of the requests get their first event in time"
)
def step_on_time(context, share):
    measured = context.world.share_on_time()
    assert measured >= share, f"{measured:.3f} in time"


@behave.then("at most {share:g} of them are refused")
def step_refused(context, share):
    measured = context.world.share_refused()
    assert measured <= share, f"{measured:.3f} refused"


@behave.then("the mean worth of the requests is at least {share:g}")
def step_worth(context, share):
    measured = context.world.mean_worth()
    assert measured >= share, f"{measured:.3f} worth"


@behave.when("callers send it to daemons that do not broadcast their loads")
def step_no_broadcast(context):
    context.other = _run(context.load, random_placement=False, broadcast=False)


@behave.then("the broadcasting daemons have at least {more:g} more in time")
def step_broadcasting(context, more):
    step_more(context, more)


@behave.then("placement by load has at least {more:g} more in time")
def step_more(context, more):
    this = context.world.share_on_time()
    other = context.other.share_on_time()
    assert this - other >= more, f"{this:.3f} against {other:.3f}"


@behave.when(
    "callers send it to daemons with equal patience for retried requests"
)
def step_equal_patience(context):
    context.other = _run(context.load, more_patience=False)


@behave.then("the share that is refused twice is lower by at least {less:g}")
def step_twice(context, less):
    this = context.world.share_refused_twice()
    other = context.other.share_refused_twice()
    assert other - this >= less, f"{this:.3f} against {other:.3f}"


@behave.when(
    "callers send it to daemons that broadcast their loads every {span:d} ms"
)
def step_frequent(context, span):
    context.frequent = _run(context.load, broadcast_interval=span)


@behave.then("the shorter interval has at least {more:g} more in time")
def step_shorter(context, more):
    this = context.frequent.share_on_time()
    other = context.world.share_on_time()
    assert this - other >= more, f"{this:.3f} against {other:.3f}"


def _idle_replicas():
    """Return the directory and the model of one open replica."""
    world = engines.World(0, 0, staged=True)
    for number in range(engines.MODELS["small"].size):
        world.add(f"r{number}", "zone-0", "d0", True, number)
    world.planner.before_traffic = True
    world.run(16_000)
    known = directory.Directory("zone-0")
    for runner in world.runner_by_id.values():
        known.update_runner(runner)
    return known


@behave.when(
    "a request of {size:d} tokens is placed on idle replicas that hold "
    "{memory:d}"
)
def step_place(context, size, memory):
    env = types.SimpleNamespace(
        name="daemon-1",
        datacentre="zone-0",
        clock=manualclock.ManualClock(),
        rng=random.Random(1),
        daemon_count=1,
    )
    replicas = _idle_replicas()
    service = types.SimpleNamespace(
        name="svc",
        engine=engines.spec()._replace(kv_cache_tokens=memory),
        cold_rate=0,
    )
    placing = placement.Placement(
        env,
        replicas,
        upstreamchoice.LoadTable(),
        placement.ColdLimits(),
        needs.Needs(env, replicas),
    )
    now = env.clock.now()
    context.placed = placing.place(
        types.SimpleNamespace(
            service=service,
            model="small",
            prompt_tokens=100,
            response_tokens=size - 100,
            deadline=now + 60_000,
            route=types.SimpleNamespace(
                latency_objective=50_000, timeout=60_000
            ),
            request=types.SimpleNamespace(arrived_at=now),
        ),
        [],
    )


@behave.then("it is sent to a replica")
def step_sent(context):
    assert isinstance(context.placed, upstreamchoice.Chosen), context.placed


@behave.then("it is refused at once, with both numbers as reason")
def step_too_large(context):
    refused = context.placed
    assert isinstance(refused, refusal.Refusal), refused
    assert "1235001" in refused.detail, refused.detail
    assert "1235000" in refused.detail, refused.detail
