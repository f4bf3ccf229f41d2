"""Steps about the messages between daemons."""

import statistics

import behave

from citronvalve.peers import messages
from citronvalve.peers import rendezvous
from citronvalve.policy import loaddetails
from tests.news import simulation as simulations

_REPLICAS = ("r-1", "r-2", "r-3")
_STALL = messages.Stall("r-1")


@behave.given(
    "{count:d} daemons in {places:d} data centres, each with requests"
)
def step_daemons(context, count, places):
    context.simulation = simulations.Simulation(count, places)
    for number, daemon in enumerate(context.simulation.alive):
        upstream = _REPLICAS[number % len(_REPLICAS)]
        daemon.request_counts = {upstream: (1 + number % 4, number % 2)}


@behave.given("each daemon states {use:d} requests of {team}")
def step_details(context, use, team):
    context.details = loaddetails.LoadDetails({"pool": {team: use}})
    for daemon in context.simulation.alive:
        daemon.details = context.details


@behave.then("each daemon counts those of all other daemons")
def step_all_details(context):
    daemons = context.simulation.alive
    others = len(daemons) - 1
    now = context.simulation.now
    for daemon in daemons:
        remote = daemon.loads.remote_loads
        for pool, expected in context.details.use_by_pool.items():
            use = remote.use_by_team(pool, now)
            assert use == {t: others * n for t, n in expected.items()}, use


@behave.when("{span:d} ms pass")
def step_pass(context, span):
    context.simulation.run(span)


def _expected_total(context, upstream, datacentre=None):
    return sum(
        daemon.request_counts.get(upstream, (0, 0))[0]
        for daemon in context.simulation.alive
        if datacentre in (None, daemon.datacentre)
    )


@behave.then("each daemon counts all requests at each replica")
def step_all_requests(context):
    for upstream in _REPLICAS:
        expected = _expected_total(context, upstream)
        wrong = {
            daemon.name: context.simulation.request_total(daemon, upstream)
            for daemon in context.simulation.alive
            if context.simulation.request_total(daemon, upstream) != expected
        }
        assert not wrong, (upstream, expected, wrong)


@behave.then("in {place} each daemon counts only the requests of {same}")
def step_local_requests(context, place, same):
    for upstream in _REPLICAS:
        expected = _expected_total(context, upstream, place)
        for daemon in context.simulation.alive:
            if daemon.datacentre == same:
                total = context.simulation.request_total(daemon, upstream)
                assert total == expected, (daemon.name, total, expected)


@behave.then(
    "in 1 s a daemon receives {usual:d} messages at the median, "
    "none over {most:d}"
)
def step_messages(context, usual, most):
    for daemon in context.simulation.alive:
        daemon.received_count = 0
    context.simulation.run(1_000)
    counts = [daemon.received_count for daemon in context.simulation.alive]
    assert statistics.median(counts) <= usual, statistics.median(counts)
    assert max(counts) <= most, max(counts)


@behave.when("a coordinator is killed")
def step_kill(context):
    context.simulation.dead.add(sorted(context.simulation.coordinators())[0])


@behave.when("the three daemons that rank highest in {place} are killed")
def step_kill_three(context, place):
    names = [
        daemon.name
        for daemon in context.simulation.alive
        if daemon.datacentre == place
    ]
    context.simulation.dead.update(rendezvous.rank(place, names)[:3])


@behave.when("{place} is cut off")
def step_cut(context, place):
    context.simulation.cut.add(place)


@behave.when("the cut heals")
def step_heal(context):
    context.simulation.cut.clear()


@behave.when("d-5 broadcasts that a replica is stalled")
def step_broadcast(context):
    context.senders = {"d-5"}
    context.simulation.broadcast("d-5", _STALL)


@behave.when("{count:d} daemons broadcast that the same replica is stalled")
def step_broadcast_many(context, count):
    for daemon in context.simulation.alive:
        daemon.sent_count = 0
    quiet = simulations.Simulation(len(context.simulation.alive), 3)
    quiet.run(3_000)
    for daemon in quiet.alive:
        daemon.sent_count = 0
    quiet.run(500)
    context.usual = sum(daemon.sent_count for daemon in quiet.alive)
    context.senders = {d.name for d in context.simulation.alive[:count]}
    for name in context.senders:
        context.simulation.broadcast(name, _STALL)


@behave.then("every other daemon receives it once")
def step_once(context):
    counts = {
        daemon.name: daemon.received_by_payload[_STALL]
        for daemon in context.simulation.alive
        if daemon.name not in context.senders
    }
    assert set(counts.values()) == {1}, counts


@behave.then("every other daemon receives it")
def step_all(context):
    missed = [
        daemon.name
        for daemon in context.simulation.alive
        if not daemon.received_by_payload[_STALL]
        and daemon.name not in context.senders
    ]
    assert not missed, missed


@behave.then("the broadcasts take {most:d} messages at most")
def step_took(context, most):
    sent = sum(daemon.sent_count for daemon in context.simulation.alive)
    assert sent - context.usual <= most, sent - context.usual
