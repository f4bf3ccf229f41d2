"""Steps for requests that run at most once."""

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

_PENDING_TIME = worlds.DEADLINE + recorder.PENDING_GRACE

#: Steps up to the timeout of a caller.
_STEPS_BY_TIMEOUT = {
    "before the batch": ("claim", "claimed"),
    "while the batch is in flight": (
        *("claim", "take", "claimed", "commit", "settle"),
    ),
    "after the response was lost": (
        *("claim", "take", "lose", "commit", "settle", "claimed"),
    ),
    "in flight with the response lost": (
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


@behave.when("the service recovers")
def step_recover(context):
    context.world.service.fault = ""


@behave.when(
    "the first daemon performs {count:d} steps of a request and is killed"
)
def step_killed(context, count):
    request = worlds.Request(context.world, context.first)
    for name in worlds.Request.STEPS[:count]:
        request.step(name)


@behave.when("the caller sends a request to the first daemon")
def step_send(context):
    context.reply = context.world.ask(context.first)


@behave.when("the caller repeats it at the second daemon")
def step_repeat(context):
    context.reply = context.world.ask(context.second)


@behave.when("the first request expires")
def step_expire(context):
    context.world.clock.advance(_PENDING_TIME)


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
    assert request.pending.future.result, "the claim has no result"
    request.claimed()
    request.serve()
    if when == "outcome":
        order(faults.Fault(fault), calls)
    request.end()
    first.work()
    context.reply = request.told


@behave.when("the platform recovers and the first daemon continues")
def step_back(context):
    context.world.table.faults.order(faults.Fault.DOWN, 0)
    context.world.table.faults.order(faults.Fault.LOSE_ANSWER, 0)
    for _ in range(5):
        context.world.clock.advance(1_000)
        context.first.work()


@behave.when("a caller times out {when}")
def step_timeout(context, when):
    request = worlds.Request(context.world, context.first)
    for name in _STEPS_BY_TIMEOUT[when]:
        if name == "lose":
            fault = faults.Fault.LOSE_ANSWER
            context.world.table.faults.order(fault, 1)
        else:
            request.step(name)
    context.reply = request.told


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
    replies = sorted(worlds.name(request.told) for request in pair)
    return replies, world.service.runs.total()


@behave.when("two daemons run 4 steps on one key in each possible order")
def step_orders(context):
    context.replies = [
        _race([0 if i in own else 1 for i in range(8)])
        for own in itertools.combinations(range(8), 4)
    ]


@behave.then("in each order one ran it and the other got in-progress")
def step_each(context):
    assert len(context.replies) == 70
    for result in context.replies:
        assert result == (["answer", "in-progress"], 1), result


@behave.when("the first daemon gets one request twice at once")
def step_twice(context):
    pair = [worlds.Request(context.world, context.first) for _ in range(2)]
    for request in pair:
        request.claim()
    context.first.work()
    for name in ("claimed", "serve", "end"):
        for request in pair:
            request.step(name)
    context.replies = [worlds.name(request.told) for request in pair]


@behave.then("one ran it and the other got {expected}")
def step_one(context, expected):
    assert sorted(context.replies) == sorted(["answer", expected]), (
        context.replies
    )
    assert context.world.service.runs.total() == 1


@behave.when("{new:d} new keys share a batch with {used:d} keys that have run")
def step_share(context, new, used):
    world, first = context.world, context.first
    for number in range(used):
        world.ask(context.second, f"k{number * 10}")
    keys = [f"k{number}" for number in range(new + used)]
    requests = [worlds.Request(world, first, key) for key in keys]
    for request in requests:
        request.claim()
    context.commits = 0
    while len(first.recorder.writer) and context.commits < new:
        world.clock.advance(10)
        first.take()
        first.commit()
        first.settle()
        context.commits += 1
    for name, request in itertools.product(
        ("claimed", "serve", "end"), requests
    ):
        request.step(name)
    context.replies = [worlds.name(request.told) for request in requests]
    context.counts = (context.replies.count("answer"), new, used)


@behave.then("the new keys were answered after {expected:d} commits")
def step_all(context, expected):
    answered, new, _ = context.counts
    assert answered == new, context.replies
    assert context.commits == expected, context.commits


@behave.then("the repeats got {expected}")
def step_the_repeats(context, expected):
    _, _, used = context.counts
    assert context.replies.count(expected) == used, context.replies


@behave.when("the platform goes down")
def step_down(context):
    context.world.table.faults.order(faults.Fault.DOWN)


@behave.when("the second daemon gets the key with {what}")
def step_gets(context, what):
    if what == "another team":
        context.world.service.runs.clear()
        worlds.TEAM = "another"
    body = b"bag 8" if what == "another body" else b"bag 7"
    context.reply = context.world.ask(context.second, body=body)
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
    context.reply = context.world.ask(context.first, "k" * size)


@behave.then("the reply is {expected:S}")
def step_reply(context, expected):
    assert worlds.name(context.reply) == expected, context.reply
    if expected == "replay" and hasattr(context, "sent"):
        assert context.reply.response == context.sent


@behave.then("the reply is {expected:S}, ran {value:S}")
def step_reply_ran(context, expected, value):
    step_reply(context, expected)
    assert value == "-" or context.reply.ran is ran.Ran(value), context.reply


@behave.then("the request ran {count:d} times")
def step_runs(context, count):
    assert context.world.service.runs.total() == count


@behave.given("a pacer for {daemons:d} daemons")
def step_pacer(context, daemons):
    context.pacer = pacer.Pacer(pacer.rate_for(daemons), 0)


@behave.when("it limits transactions for {seconds:d} seconds")
def step_paced(context, seconds):
    context.allowed = 0
    for now in range(seconds * 1_000):
        if not context.pacer.wait(now):
            context.pacer.consume(now)
            context.allowed += 1


@behave.then("it allows {count:d} of them, with a tolerance of {tolerance:d}")
def step_allows(context, count, tolerance):
    assert abs(context.allowed - count) <= tolerance, context.allowed


@behave.when('the machine "{name}" runs')
def step_machine(context, name):
    context.count_by_invariant = machinery.run(name)


@behave.then("these invariants were checked")
def step_invariants(context):
    invariants = {row["invariant"] for row in context.table}
    assert invariants <= set(context.count_by_invariant), (
        context.count_by_invariant
    )
