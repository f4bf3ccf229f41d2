"""Steps about upstreams that say in their answers that they leave."""

import behave

from citronvalve.forward import relayframe
from tests.forward.steps import limits_steps


@behave.when('it says "{value}" of its leaving and a caller calls /any/thing')
def step_says(context, value):
    text = "9" * 400 if value == "400 digits" else value
    context.rig.runners["plain-1"].said = f"X-Leaving: {text}\r\n"
    context.got = context.rig.send("/any/thing")


@behave.when('it says "" of its leaving and a caller calls /any/thing')
def step_says_nothing(context):
    step_says(context, "")


def _leave(rig, names):
    for name in names:
        start_id = rig.directory.runner_by_id[name].start_id
        rig.leaving.record(name, start_id, "here")


@behave.when("{which} said that it leaves, and ten callers send {path}")
def step_ten(context, which, path):
    rig = context.rig
    kind = "head" if path.startswith("/stream") else "plain"
    names = sorted(name for name in rig.runners if name.startswith(kind))
    context.leaving = names[:1] if which == "the first has" else names
    _leave(rig, context.leaving)
    context.answers = [limits_steps.ask(rig, path) for _ in range(10)]


@behave.then("no request reaches an upstream that leaves")
def step_unreached(context):
    runners = context.rig.runners
    reached = {name: len(runners[name].requests) for name in context.leaving}
    assert not any(reached.values()), reached


@behave.when("the second has said that it leaves, and a caller sends {path}")
def step_second(context, path):
    context.second = sorted(context.rig.runners)[1]
    _leave(context.rig, [context.second])
    context.got, _ = limits_steps.ask(context.rig, path)


def _list_again(directory, entry):
    directory.update_runner(entry)


def _lose(directory, entry):
    directory.remove(entry.id)
    directory.update_runner(entry)


def _restart(directory, entry):
    directory.update_runner(entry._replace(start_id=entry.start_id + 1))


def _take_in(directory, entry):
    directory.set_datacentres_out(frozenset({entry.datacentre}))
    directory.set_datacentres_out(frozenset())


_DO_BY_WHAT = {
    "shows it as ready again": _list_again,
    "loses it and shows it again": _lose,
    "shows it with another start": _restart,
    "takes its data centre in again": _take_in,
}


@behave.when("it has said that it leaves, and the list {what}")
def step_list(context, what):
    directory = context.rig.directory
    entry = directory.runner_by_id["plain-1"]._replace(list_version=9)
    _leave(context.rig, ["plain-1"])
    _DO_BY_WHAT[what](directory, entry)


@behave.then("{count:d} upstreams are in service")
def step_in_service(context, count):
    directory = context.rig.directory
    found = directory.plain_upstreams("plain")
    assert len(found) == count, found
    assert directory.is_in_service("plain-1") is bool(count)


@behave.when("its relay learns that both leave")
def step_relay(context):
    _leave(context.relays[0].rig, ["plain-1", "plain-2"])


@behave.then("the relay relays to neither")
def step_not_relayed(context):
    server = context.relays[0].server
    refusals = {server.find_refusal(n) for n in ("plain-1", "plain-2")}
    assert refusals == {relayframe.Reason.NOT_IN_SERVICE}, refusals
