"""Steps that edit the table while real daemons run."""

import signal
import subprocess
import sys
import time

import behave
import msgspec
import urllib3

from citronvalve.cli import exitcode
from citronvalve.cli import status
from citronvalve.peers import rendezvous
from citronvalve.peers import timing
from standins import fleet as fleets
from tests import drill

_DATACENTRES = ("hakodate", "sapporo")
_INVARIANTS = {
    "the table's version never falls",
    "an accepted table version is never replaced by a lower one",
}
_KEY = "datacentres/hakodate"


@behave.given("{count:d} daemons with a table in force")
def step_daemons(context, count):
    _start(context, count, _DATACENTRES)


@behave.given("{count:d} daemons of one data centre with a table in force")
def step_one_place(context, count):
    _start(context, count, _DATACENTRES[:1])


def _start(context, count, datacentres):
    context.made = drill.open_in(context, datacentres)
    context.made.daemons(count)
    context.made.start()
    context.gone = set()
    context.started = {}
    drill.eventually(
        lambda: all(
            told["members"] == count for told in _statuses(context).values()
        ),
        "every daemon knows all members",
    )
    context.version = _status(context, "daemon-0")["table_version"]


@behave.given("the platform does not respond")
def step_no_answer(context):
    context.made = drill.open_in(context, _DATACENTRES)
    context.gone = set()
    _inject_fault(context, "down", -1)


def _fleet(context):
    return context.made.fleet


def _status(context, name):
    return fleets.status(_fleet(context).addresses_by_daemon[name])


def _statuses(context):
    names = _fleet(context).addresses_by_daemon.keys() - context.gone
    return {name: _status(context, name) for name in sorted(names)}


def _inject_fault(context, fault, calls, delay=0):
    order = {"service": "table", "fault": fault, "calls": calls}
    order["delay"] = delay
    url = f"http://{_fleet(context).platform}/faults"
    body = msgspec.json.encode(order)
    assert urllib3.request("POST", url, body=body).status == 200


def _run_tool(context, *words):
    return subprocess.run(
        [
            *(sys.executable, "-m", "citronvalve.cli.main", *words),
            *("--platform", _platform(context)),
        ],
        capture_output=True,
        text=True,
        check=False,
    )


def _edit(context, state):
    author = ("--who", "operator", "--why", "drill")
    return _run_tool(context, "table", "set", _KEY, f"state={state}", *author)


@behave.when("the operator takes hakodate out")
def step_out(context):
    done = _edit(context, "out")
    assert done.returncode == 0, done.stdout
    context.version += 1
    context.committed = time.monotonic()


def _in_force_within(context, limit):
    deadline = context.committed + limit / 1_000
    while True:
        version_by_daemon = {
            name: status["table_version"]
            for name, status in _statuses(context).items()
        }
        if all(seen >= context.version for seen in version_by_daemon.values()):
            return
        assert time.monotonic() < deadline, (
            context.version,
            version_by_daemon,
        )
        time.sleep(0.01)


@behave.then("it is in force on all within {most:d} ms")
@behave.then("it is in force on all live daemons within {most:d} ms")
@behave.then("it is in force on the others within {most:d} ms")
def step_in_force(context, most):
    _in_force_within(context, most)


def _operators(context):
    addresses = _fleet(context).addresses_by_daemon
    return [
        addresses[name].operators for name in addresses.keys() - context.gone
    ]


def _platform(context):
    return _fleet(context).platform


def _run_status(context, *options):
    return _run_tool(context, "status", *_operators(context), *options)


@behave.then("the status exits 0 and names no daemon")
def step_status(context):
    done = _run_status(context, "--wait", "5")
    assert done.returncode == 0, done.stdout
    assert "not confirmed" not in done.stdout, done.stdout


@behave.when("a watcher is killed")
def step_kill(context):
    alive = _status(context, "daemon-0")["peers"]["alive"]
    context.killed = rendezvous.first("watcher", alive)
    _fleet(context).process_by_name[context.killed].send(signal.SIGKILL)
    context.gone.add(context.killed)
    context.killed_at = time.monotonic()


@behave.then("the status names the killed daemon until it is marked dead")
def step_dead(context):
    # The status is read in this process: on a busy machine the tool may take
    # longer to start than the dead member is listed.
    shown = status.status(*_operators(context), platform=_platform(context))
    if shown.code == exitcode.ExitCode.OK:
        # No daemon is named only after the killed one is marked dead.
        passed = (time.monotonic() - context.killed_at) * 1_000
        assert passed >= timing.Timing().dead_after, (passed, shown.text)
        for name, told in _statuses(context).items():
            alive = told["peers"]["alive"]
            assert context.killed not in alive, (name, alive)
    else:
        assert shown.code == exitcode.ExitCode.REFUSED, shown.text
        assert context.killed in shown.text, shown.text
    done = _run_status(context, "--wait", "15")
    assert done.returncode == 0, done.stdout


@behave.when("each response of the platform takes {delay:d} ms")
def step_slow(context, delay):
    _inject_fault(context, "slow", -1, delay)


@behave.when("the platform stops responding")
def step_stops(context):
    _inject_fault(context, "down", -1)


@behave.when("the platform responds again")
def step_answers(context):
    _inject_fault(context, "down", 0)


@behave.then("an edit exits 4 and changes nothing")
def step_refused(context):
    assert _edit(context, "out").returncode == 4


def _ready(context, name):
    address = _fleet(context).addresses_by_daemon[name].operators
    url = f"http://{address}/readyz"
    return urllib3.request("GET", url, retries=False).status == 200


@behave.then("all daemons stay ready with their version")
def step_stay(context):
    for name, told in _statuses(context).items():
        assert told["table_version"] == context.version
        assert _ready(context, name)


@behave.when("a new daemon starts")
@behave.when("a lone daemon starts")
def step_fresh(context):
    _fleet(context).start_daemon("fresh", "sapporo")
    _fleet(context).wait_up()


@behave.then("it becomes ready with the version of its peers")
def step_gets_ready(context):
    drill.eventually(
        lambda: _ready(context, "fresh"), "the new daemon is ready"
    )
    assert _status(context, "fresh")["table_version"] == context.version


@behave.then("it stays not ready for {span:d} ms")
def step_not_ready(context, span):
    deadline = time.monotonic() + span / 1_000
    while time.monotonic() < deadline:
        assert not _ready(context, "fresh")
        time.sleep(0.05)


@behave.then("it becomes ready once a table is applied")
def step_once(context):
    assert context.made.apply("first") == 1
    drill.eventually(
        lambda: _ready(context, "fresh"), "the new daemon is ready"
    )


@behave.when("a daemon is paused")
def step_pause(context):
    context.paused = "daemon-1"
    process = _fleet(context).process_by_name[context.paused]
    process.send(signal.SIGSTOP)
    context.gone.add(context.paused)


@behave.then("the status names the paused daemon")
def step_names(context):
    drill.eventually(
        lambda: context.paused in _run_status(context).stdout,
        "the paused daemon is named",
    )


@behave.when("the paused daemon resumes")
def step_goes_on(context):
    process = _fleet(context).process_by_name[context.paused]
    process.send(signal.SIGCONT)
    context.gone.clear()
    context.committed = time.monotonic()


@behave.then("no daemon's version ever fell")
def step_never(context):
    for name, told in _statuses(context).items():
        assert told["invariants"].keys() >= _INVARIANTS, (name, told)
        log = _fleet(context).process_by_name[name].output()
        assert "invariant violated:" not in log, name
