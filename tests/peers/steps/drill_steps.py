"""Steps about peers in separate processes."""

import signal
import time

import behave
import zmq

from standins import fleet as fleets
from tests import drill

_JUNK = (b"", b"junk", b"\x95\x01\x00")


def _told(context, number):
    return fleets.status(context.made.addresses(number))


def _alive(context, number):
    return len(_told(context, number)["peers"]["alive"])


@behave.given("three daemons that know each other")
def step_three(context):
    made = context.made = drill.open_in(context)
    made.engine("vm-1", "sapporo")
    made.engine("vm-2", "sapporo")
    made.daemons(3, daemons_here=3)
    made.start()
    drill.eventually(
        lambda: all(_alive(context, n) == 3 for n in range(3)),
        "three members everywhere",
    )


def _process(context, number):
    return context.made.fleet.process_by_name[f"daemon-{number}"]


@behave.when("one daemon is killed")
def step_kill(context):
    _process(context, 2).send(signal.SIGKILL)


@behave.then("the other two bury it and know every upstream's load")
def step_buried(context):
    for number in (0, 1):
        drill.eventually(
            lambda n=number: (
                _told(context, n)["peers"]["dead"] == ["daemon-2"]
            ),
            "the dead one is buried",
        )
        drill.eventually(
            lambda n=number: (
                [
                    one["name"]
                    for one in _told(context, n)["upstreams"]
                    if one["age_ms"] < 3_000
                ]
                == ["vm-1", "vm-2"]
            ),
            "every load is fresh",
        )


@behave.then("an edit comes into force on them")
def step_edit(context):
    context.made.declaration["teams"]["kaban"]["weight"] = 7
    version = context.made.apply("after the death")
    for number in (0, 1):
        drill.eventually(
            lambda n=number: _told(context, n)["table_version"] == version,
            "the edit is in force",
        )


@behave.when("one daemon is stopped for {seconds:d} s and goes on")
def step_stop(context, seconds):
    # The test waits for a time here, and not for a condition: what it is
    # about is how long the process does not run.
    context.life = _told(context, 1)["peers"]["incarnation"]
    _process(context, 1).send(signal.SIGSTOP)
    time.sleep(seconds)
    buried = _told(context, 0)["peers"]["dead"]
    _process(context, 1).send(signal.SIGCONT)
    assert buried == ["daemon-1"], buried


@behave.then("it begins a new life and acts again")
def step_rejoin(context):
    drill.eventually(
        lambda: (
            _told(context, 1)["peers"]["incarnation"] > context.life
            and _told(context, 1)["peers"]["acting"]
        ),
        "a new life that acts",
    )


@behave.then("every daemon sees three members")
def step_see(context):
    drill.eventually(
        lambda: all(_alive(context, n) == 3 for n in range(3)),
        "three members everywhere",
    )


@behave.when("a stranger sends junk to one of them")
def step_junk(context):
    with zmq.Context() as own, own.socket(zmq.DEALER) as stranger:
        stranger.linger = 2_000
        stranger.connect(f"tcp://{context.made.addresses(0).peers}")
        for junk in _JUNK:
            stranger.send(junk)


@behave.then("it counts the junk and still knows its peers")
def step_counted(context):
    drill.eventually(
        lambda: (
            sum(_told(context, 0)["peers"]["dropped_by_reason"].values())
            >= len(_JUNK)
        ),
        "the junk is counted",
    )
    assert _alive(context, 0) == 3
