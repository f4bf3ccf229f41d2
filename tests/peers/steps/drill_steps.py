"""Steps about peers in separate processes."""

import signal
import time

import behave
import zmq

from standins import fleet as fleets
from tests import drill

_INVALID_MESSAGES = (b"", b"junk", b"\x95\x01\x00")


def _status(context, number):
    return fleets.status(context.made.addresses(number))


def _alive_count(context, number):
    return len(_status(context, number)["peers"]["alive"])


@behave.given("three daemons that know each other")
def step_three(context):
    made = context.made = drill.open_in(context)
    made.engine("vm-1", "sapporo")
    made.engine("vm-2", "sapporo")
    made.daemons(3, daemons_here=3)
    made.start()
    drill.eventually(
        lambda: all(_alive_count(context, n) == 3 for n in range(3)),
        "three members everywhere",
    )


def _process(context, number):
    return context.made.fleet.process_by_name[f"daemon-{number}"]


@behave.when("one daemon is killed")
def step_kill(context):
    _process(context, 2).send(signal.SIGKILL)


@behave.then("the other two mark it dead and know every upstream's load")
def step_dead(context):
    for number in (0, 1):
        drill.eventually(
            lambda n=number: (
                _status(context, n)["peers"]["dead"] == ["daemon-2"]
            ),
            "the killed daemon is marked dead",
        )
        drill.eventually(
            lambda n=number: (
                [
                    upstream["name"]
                    for upstream in _status(context, n)["upstreams"]
                    if upstream["age_ms"] < 3_000
                ]
                == ["vm-1", "vm-2"]
            ),
            "every load is recent",
        )


@behave.then("an edit comes into force on them")
def step_edit(context):
    context.made.declaration["teams"]["kaban"]["weight"] = 7
    version = context.made.apply("after the death")
    for number in (0, 1):
        drill.eventually(
            lambda n=number: _status(context, n)["table_version"] == version,
            "the edit is in force",
        )


@behave.when("one daemon is stopped for {seconds:d} s and resumed")
def step_stop(context, seconds):
    # The wait has a fixed duration, since the scenario is about how long the
    # process is stopped.
    context.incarnation = _status(context, 1)["peers"]["incarnation"]
    _process(context, 1).send(signal.SIGSTOP)
    time.sleep(seconds)
    dead = _status(context, 0)["peers"]["dead"]
    _process(context, 1).send(signal.SIGCONT)
    assert dead == ["daemon-1"], dead


@behave.then("it acts again in a new incarnation")
def step_rejoin(context):
    drill.eventually(
        lambda: (
            _status(context, 1)["peers"]["incarnation"] > context.incarnation
            and _status(context, 1)["peers"]["acting"]
        ),
        "a new incarnation that acts",
    )


@behave.then("every daemon sees three members")
def step_see(context):
    drill.eventually(
        lambda: all(_alive_count(context, n) == 3 for n in range(3)),
        "three members everywhere",
    )


@behave.when("a stranger sends invalid messages to one of them")
def step_invalid(context):
    with zmq.Context() as own, own.socket(zmq.DEALER) as stranger:
        stranger.linger = 2_000
        stranger.connect(f"tcp://{context.made.addresses(0).peers}")
        for message in _INVALID_MESSAGES:
            stranger.send(message)


@behave.then("it counts them and still knows its peers")
def step_counted(context):
    drill.eventually(
        lambda: (
            sum(_status(context, 0)["peers"]["dropped_by_reason"].values())
            >= len(_INVALID_MESSAGES)
        ),
        "the invalid messages are counted",
    )
    assert _alive_count(context, 0) == 3
