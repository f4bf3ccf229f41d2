"""Steps about what daemons tell each other."""

import statistics

import behave

from citronvalve.peers import messages
from citronvalve.peers import rendezvous
from tests.news import simulation as worlds

_REPLICAS = ("r-1", "r-2", "r-3")
_STILL = messages.Stall("r-1")


@behave.given(
    "{count:d} daemons in {places:d} data centres, each with requests"
)
def step_daemons(context, count, places):
    context.world = worlds.World(count, places)
    for number, daemon in enumerate(context.world.alive):
        upstream = _REPLICAS[number % len(_REPLICAS)]
        daemon.counts = {upstream: (1 + number % 4, number % 2)}


@behave.when("{span:d} ms pass")
def step_pass(context, span):
    context.world.run(span)


def _true(context, upstream, place=None):
    return sum(
        daemon.counts.get(upstream, (0, 0))[0]
        for daemon in context.world.alive
        if place in (None, daemon.datacentre)
    )


@behave.then("each believes the true number of requests at each replica")
def step_true(context):
    for upstream in _REPLICAS:
        true = _true(context, upstream)
        wrong = {
            daemon.name: context.world.believed(daemon, upstream)
            for daemon in context.world.alive
            if context.world.believed(daemon, upstream) != true
        }
        assert not wrong, (upstream, true, wrong)


@behave.then("in {place} each believes the requests of {same} only")
def step_only(context, place, same):
    for upstream in _REPLICAS:
        true = _true(context, upstream, place)
        for daemon in context.world.alive:
            if daemon.datacentre == same:
                believed = context.world.believed(daemon, upstream)
                assert believed == true, (daemon.name, believed, true)


@behave.then(
    "in 1 s a daemon receives {usual:d} messages at the median, "
    "none over {most:d}"
)
def step_messages(context, usual, most):
    for daemon in context.world.alive:
        daemon.got = 0
    context.world.run(1_000)
    got = [daemon.got for daemon in context.world.alive]
    assert statistics.median(got) <= usual, statistics.median(got)
    assert max(got) <= most, max(got)


@behave.when("a keeper is killed")
def step_kill(context):
    context.world.dead.add(sorted(context.world.keepers())[0])


@behave.when("the three daemons that rank highest in {place} are killed")
def step_kill_three(context, place):
    names = [
        daemon.name
        for daemon in context.world.alive
        if daemon.datacentre == place
    ]
    context.world.dead.update(rendezvous.rank(place, names)[:3])


@behave.when("{place} is cut off")
def step_cut(context, place):
    context.world.cut.add(place)


@behave.when("the cut heals")
def step_heal(context):
    context.world.cut.clear()


@behave.when("d-5 tells all that a replica stands still")
def step_tell(context):
    context.told = {"d-5"}
    context.world.tell("d-5", _STILL)


@behave.when("{count:d} daemons tell all that the same replica stands still")
def step_tell_many(context, count):
    for daemon in context.world.alive:
        daemon.sent = 0
    quiet = worlds.World(len(context.world.alive), 3)
    quiet.run(3_000)
    for daemon in quiet.alive:
        daemon.sent = 0
    quiet.run(500)
    context.usual = sum(daemon.sent for daemon in quiet.alive)
    context.told = {d.name for d in context.world.alive[:count]}
    for name in context.told:
        context.world.tell(name, _STILL)


@behave.then("every other daemon has heard it once")
def step_once(context):
    counts = {
        daemon.name: daemon.heard[_STILL]
        for daemon in context.world.alive
        if daemon.name not in context.told
    }
    assert set(counts.values()) == {1}, counts


@behave.then("every daemon has heard it")
def step_all(context):
    deaf = [
        daemon.name
        for daemon in context.world.alive
        if not daemon.heard[_STILL] and daemon.name not in context.told
    ]
    assert not deaf, deaf


@behave.then("the news took {most:d} messages at most")
def step_took(context, most):
    sent = sum(daemon.sent for daemon in context.world.alive)
    assert sent - context.usual <= most, sent - context.usual
