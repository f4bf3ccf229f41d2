"""Steps about requests that run at most once."""

import itertools

import behave

from citronvalve.model import ran
from citronvalve.once import outcome
from citronvalve.once import pacer
from citronvalve.once import recorder
from citronvalve.once import response
from standins import faults
from tests import machinery
from tests.once import world as worlds

_LONG = worlds.DEADLINE + recorder.PENDING_GRACE

#: The steps by which a caller runs out of time.
_OUT_OF_TIME = {
    "before the batch": ("claim", "claimed"),
    "while the batch is in flight": (
        *("claim", "take", "claimed", "commit", "settle"),
    ),
    "after the answer was lost": (
        *("claim", "take", "lose", "commit", "settle", "claimed"),
    ),
    "in flight with the answer lost": (
        *("claim", "take", "lose", "commit", "claimed", "settle"),
    ),
}


@behave.given("two daemons")
def step_daemons(context):
    context.world = worlds.World()
    context.first = context.world.daemon()
    context.second = context.world.daemon()


@behave.given("a service that {fault}")
def step_fault(context, fault):
    context.world.service.fault = fault


@behave.when("the service is well again")
def step_well(context):
    context.world.service.fault = ""


@behave.when("the first takes {count:d} steps of a request and is killed")
def step_killed(context, count):
    request = worlds.Request(context.world, context.first)
    for name in worlds.Request.STEPS[:count]:
        request.step(name)


@behave.when("the caller sends a request to the first")
def step_send(context):
    context.told = context.world.ask(context.first)


@behave.when("the caller repeats it at the second")
def step_repeat(context):
    context.told = context.world.ask(context.second)


@behave.when("the time of the first request passes")
def step_passes(context):
    context.world.clock.advance(_LONG)


@behave.when(
    "a request is sent with the platform {fault} for {calls:d} calls at the"
    " {when:w}"
)
def step_platform(context, fault, calls, when):
    world, first = context.world, context.first
    request = worlds.Request(world, first)
    order = world.table.faults.order
    request.claim()
    if when == "claim":
        order(faults.Fault(fault), calls)
    first.work()
    assert request.pending.future.result, "the caller was left waiting"
    request.claimed()
    request.serve()
    if when == "outcome":
        order(faults.Fault(fault), calls)
    request.end()
    first.work()
    context.told = request.reply


@behave.when("the platform is back and the first daemon goes on")
def step_back(context):
    context.world.table.faults.order(faults.Fault.DOWN, 0)
    context.world.table.faults.order(faults.Fault.LOSE_ANSWER, 0)
    for _ in range(5):
        context.world.clock.advance(1_000)
        context.first.work()


@behave.when("a caller runs out of time {when}")
def step_out_of_time(context, when):
    request = worlds.Request(context.world, context.first)
    for name in _OUT_OF_TIME[when]:
        if name == "lose":
            fault = faults.Fault.LOSE_ANSWER
            context.world.table.faults.order(fault, 1)
        else:
            request.step(name)
    context.told = request.reply


def _race(order):
    world = worlds.World()
    pair = [worlds.Request(world, world.daemon()) for _ in range(2)]
    names = [iter(worlds.Request.STEPS[:4]) for _ in pair]
    for who in order:
        pair[who].step(next(names[who]))
    for request in pair:
        request.daemon.work()
        request.claimed()
    for request in pair:
        request.serve()
        request.end()
    told = sorted(worlds.name(request.reply) for request in pair)
    return told, world.service.runs.total()


@behave.when("each order of 4 steps of two daemons is tried on one key")
def step_orders(context):
    context.ends = [
        _race([0 if i in own else 1 for i in range(8)])
        for own in itertools.combinations(range(8), 4)
    ]


@behave.then("in each order one ran it and the other was told truly")
def step_each(context):
    assert len(context.ends) == 70
    for end in context.ends:
        assert end == (["answer", "in-progress"], 1), end


@behave.when("the first is given one request twice at once")
def step_twice(context):
    pair = [worlds.Request(context.world, context.first) for _ in range(2)]
    for request in pair:
        request.claim()
    context.first.work()
    for name in ("claimed", "serve", "end"):
        for request in pair:
            request.step(name)
    context.ends = [worlds.name(request.reply) for request in pair]


@behave.then("one ran it and the other was told {told}")
def step_one(context, told):
    assert sorted(context.ends) == sorted(["answer", told]), context.ends
    assert context.world.service.runs.total() == 1


@behave.when("{new:d} new keys share a batch with {taken:d} that have run")
def step_share(context, new, taken):
    world, first = context.world, context.first
    for number in range(taken):
        world.ask(context.second, f"k{number * 10}")
    keys = [f"k{number}" for number in range(new + taken)]
    requests = [worlds.Request(world, first, key) for key in keys]
    for request in requests:
        request.claim()
    context.tries = 0
    while len(first.recorder.writer) and context.tries < new:
        world.clock.advance(10)
        first.take()
        first.commit()
        first.settle()
        context.tries += 1
    for name, request in itertools.product(
        ("claimed", "serve", "end"), requests
    ):
        request.step(name)
    context.ends = [worlds.name(request.reply) for request in requests]
    context.counts = (context.ends.count("answer"), new, taken)


@behave.then("the new were answered after {most:d} tries of the batch")
def step_all(context, most):
    answered, new, _ = context.counts
    assert answered == new, context.ends
    assert context.tries == most, context.tries


@behave.then("the repeats were told {told}")
def step_the_repeats(context, told):
    _, _, taken = context.counts
    assert context.ends.count(told) == taken, context.ends


@behave.when("the platform goes down")
def step_down(context):
    context.world.table.faults.order(faults.Fault.DOWN)


@behave.when("the second gets the key with {what}")
def step_gets(context, what):
    if what == "another team":
        context.world.service.runs.clear()
        worlds.TEAM = "another"
    body = b"bag 8" if what == "another body" else b"bag 7"
    context.told = context.world.ask(context.second, body=body)
    worlds.TEAM = "kanta"


@behave.when(
    "a request is answered with {size:d} bytes, the object store {store}"
)
def step_sized(context, size, store):
    world = context.world
    context.sent = response.Response(201, "image/png", b"\xff" * size)
    world.service.run = lambda key, digest: (
        world.service.runs.update([(key, digest)])
        or outcome.from_response(context.sent)
    )
    if store == "down":
        world.objects.faults.order(faults.Fault.DOWN)
    assert world.ask(context.first) == context.sent
    if store == "changed":
        world.objects.put("once/d1.1", b"\xff" * (size - 1))
    if store == "away":
        world.objects.faults.order(faults.Fault.DOWN)


@behave.when("a key of {size:d} characters is sent")
def step_key(context, size):
    context.told = context.world.ask(context.first, "k" * size)


@behave.then("it is told {told:S}")
def step_told(context, told):
    assert worlds.name(context.told) == told, context.told
    if told == "replay" and hasattr(context, "sent"):
        assert context.told.response == context.sent


@behave.then("it is told {told:S}, ran {said:S}")
def step_told_ran(context, told, said):
    step_told(context, told)
    assert said == "-" or context.told.ran is ran.Ran(said), context.told


@behave.then("the request was run {count:d} times")
def step_runs(context, count):
    assert context.world.service.runs.total() == count


@behave.given("a pacer for {daemons:d} daemons")
def step_pacer(context, daemons):
    context.pacer = pacer.Pacer(pacer.rate_for(daemons), 0)


@behave.when("it is asked for transactions for {seconds:d} seconds")
def step_paced(context, seconds):
    context.taken = 0
    for now in range(seconds * 1_000):
        if not context.pacer.wait(now):
            context.pacer.consume(now)
            context.taken += 1


@behave.then("it lets {count:d} of them go, give or take {some:d}")
def step_lets(context, count, some):
    assert abs(context.taken - count) <= some, context.taken


@behave.when('the machine "{name}" runs')
def step_machine(context, name):
    context.count_by_promise = machinery.run(name)


@behave.then("these promises were looked at")
def step_promises(context):
    promises = {row["promise"] for row in context.table}
    assert promises <= set(context.count_by_promise), context.count_by_promise
