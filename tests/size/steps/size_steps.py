"""Steps about the work of one daemon in a large fleet."""

import random

import behave

from citronvalve.forward import directory
from citronvalve.peers import messages
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner
from tests.news import simulation
from tests.replicas import largesite
from tests.replicas import world
from tests.size import opcodes


def _runner(number, version):
    return runner.Runner(
        f"r-{number}",
        "kantei",
        f"10.0.0.{number}:1",
        f"place-{number % 5}",
        list_version=version,
    )


@behave.given("directories with {few:d} and with {many:d} runners")
def step_directories(context, few, many):
    context.directories = []
    for count in (few, many):
        made = directory.Directory("place-0")
        for number in range(count):
            made.update_runner(_runner(number, 1))
        context.directories.append(made)


@behave.when("one runner of each changes")
def step_change(context):
    context.work = [
        opcodes.count(lambda d=made: d.update_runner(_runner(7, 2)))
        for made in context.directories
    ]


@behave.then("the larger one takes at most {factor:g} times the work")
def step_compare(context, factor):
    few, many = context.work
    assert many <= factor * few, context.work


@behave.given("daemons that know {few:d} and {many:d} upstreams")
def step_upstreams(context, few, many):
    context.daemons = []
    for count in (few, many):
        fleet = simulation.Simulation(20, 2)
        daemon = fleet.daemon_by_name["d-0"]
        for number in range(count):
            daemon.loads.of(f"r-{number}")
        context.daemons.append((daemon, fleet.now))


@behave.when("a sum of {count:d} upstreams arrives at each")
def step_sum(context, count):
    context.work = []
    for daemon, now in context.daemons:
        sender = daemon.distributor.topology.coordinator(now)
        loads = messages.OtherLoads(
            sender, 19, {f"r-{n}": (2, 0) for n in range(count)}
        )
        context.work.append(
            opcodes.count(
                lambda d=daemon, m=loads, at=now: (
                    d.distributor.apply_other_loads(m, at)
                )
            )
        )


@behave.given(
    "{count:d} daemons in {places:d} data centres that have reported "
    "{upstreams:d} upstreams each"
)
def step_reported(context, count, places, upstreams):
    fleet = simulation.Simulation(count, places)
    for number, daemon in enumerate(fleet.alive):
        daemon.request_counts = {
            f"r-{(number + n) % 219}": (1, 0) for n in range(upstreams)
        }
    fleet.run(2_000)
    context.fleet = fleet
    context.sender = fleet.daemon_by_name[sorted(fleet.coordinators())[0]]
    context.receivers = [
        daemon
        for daemon in fleet.alive
        if daemon.datacentre == context.sender.datacentre
        and daemon is not context.sender
    ]


@behave.given("one of them is of an older release")
def step_older(context):
    fleet = context.fleet
    context.older = context.receivers[0]
    report = messages.DaemonLoads(
        context.older.name, context.older.request_counts
    )
    context.sender.distributor.apply_daemon_loads(report, fleet.now)


@behave.when("a coordinator sends its sums")
def step_send(context):
    out = context.sender.distributor.load_sums(context.fleet.now)
    context.message_by_name = {
        name: message
        for name, message in out
        if isinstance(message, messages.OtherLoads)
    }


@behave.then("all daemons of its data centre get one and the same message")
def step_same(context):
    names = {daemon.name for daemon in context.receivers}
    assert context.message_by_name.keys() == names
    assert len({id(m) for m in context.message_by_name.values()}) == 1


def _requests_of_others(context, daemon):
    total = {}
    for other in context.fleet.alive:
        if other is not daemon:
            for upstream, (count, late) in other.request_counts.items():
                before = total.get(upstream, (0, 0))
                total[upstream] = before[0] + count, before[1] + late
    return total


@behave.then("each of them subtracts its own requests from it")
def step_subtract(context):
    now = context.fleet.now
    for daemon in context.receivers:
        message = context.message_by_name[daemon.name]
        daemon.distributor.apply_other_loads(message, now)
        expected = _requests_of_others(context, daemon)
        for upstream in daemon.request_counts:
            counted = daemon.loads.remote_loads.requests(upstream, now)
            assert counted == expected.get(upstream, (0, 0)), upstream


@behave.then("that one gets a sum without its own requests")
def step_without_own(context):
    message = context.message_by_name[context.older.name]
    assert message.sequence_by_daemon is None
    expected = _requests_of_others(context, context.older)
    found = {u: c for u, c in message.by_upstream.items() if c != (0, 0)}
    assert found == expected


@behave.given(
    "{local:d} local and {remote:d} remote replicas with little load"
)
def step_replicas(context, local, remote):
    context.local = [
        upstreamchoice.Candidate(f"local-{n}", 13, 0.0, True)
        for n in range(local)
    ]
    context.remote = [
        upstreamchoice.Candidate(f"remote-{n}", 13, 1.0, False)
        for n in range(remote)
    ]


def _place(candidates):
    spec = world.spec()
    model = spec.model_by_name["small"]
    pace = enginepace.EnginePace(spec, model.time_factor)
    loads = upstreamchoice.LoadTable()
    counts = {c.upstream: (1, 0) for c in candidates}
    loads.remote_loads.record("coordinator", counts, 1_000)
    choice = upstreamchoice.UpstreamChoice(loads, random.Random(3))
    job = upstreamchoice.Job(674, 220, 240.0, 900.0)
    chosen = []
    work = opcodes.count(
        lambda: chosen.append(choice.choose(job, candidates, pace, 1_000))
    )
    return chosen[0], work


@behave.when("a request is placed")
def step_place(context):
    context.among_all = _place(context.remote + context.local)
    context.among_local = _place(context.local)


@behave.then(
    "it takes at most {factor:g} times the work of placing it among the "
    "{count:d} alone"
)
def step_work(context, factor, count):
    assert len(context.local) == count
    many, few = context.among_all[1], context.among_local[1]
    assert many <= factor * few, (many, few)


@behave.then("both choose a local replica")
def step_local(context):
    for chosen, _ in (context.among_all, context.among_local):
        assert chosen.upstream.startswith("local-"), chosen


@behave.given(
    "large sites of {few:d} and of {many:d} domains that have lost members"
)
def step_sites(context, few, many):
    context.sites = [largesite.LargeSite(few), largesite.LargeSite(many)]
    for site in context.sites:
        site.form()
        site.lose(1)
        for head in site.world.open_heads():
            # A member of each replica is suspected, as after a pause.
            site.world.planner.liveness.suspect(
                site.world.members(head.id)[-1]
            )


@behave.when("the next plan of each is made")
def step_plan(context):
    context.work = [
        opcodes.count(site.world.step_planner) for site in context.sites
    ]
