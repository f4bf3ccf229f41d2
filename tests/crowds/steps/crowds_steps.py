"""Steps about crowds of clients that break the limits."""

import pathlib
import subprocess
import sys
import tempfile

import behave
import eventlet
from eventlet.green import subprocess as green_subprocess

from standins.crowds import framing as framings
from standins.crowds import place as places
from standins.crowds import watched

_MEGABYTE = 1_000_000
_MEBIBYTE = 1_048_576
_START_PATIENCE = 30.0
_LOOK = 0.05

#: Seconds for which a crowd goes on, longer than an ordinary client does, and
#: those in which it has begun.
_ENDLESS = 120
_BEGIN = 4.0


def _open(context, make):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.place = make(pathlib.Path(folder.name))
    context.add_cleanup(context.place.close)
    context.place.daemon.wait_up()
    found = context.place.ask(patience=_START_PATIENCE)
    assert found[0].startswith("2"), (found, context.place.daemon.output())
    context.watched = watched.Watched(context.place.daemon.pid)
    context.add_cleanup(context.watched.close)


_FRAMING_BY_WAY = {
    "one piece": framings.Framing(0, (0,)),
    "pieces of 16 KB": framings.Framing(16_384, (0,)),
    "one chunk": framings.Framing(0, (4 * _MEBIBYTE,)),
    "chunks of 64 KiB": framings.Framing(0, (65_536,)),
    "chunks of 100 bytes": framings.Framing(0, (100,)),
    "chunks of 3 bytes": framings.Framing(0, (3,)),
    "chunks of one byte": framings.Framing(0, (1,)),
    "chunks of one and of two bytes": framings.Framing(0, (1, 2)),
}


@behave.given(
    "a daemon of the users' interface that may take {memory:d} MB and "
    "{descriptors:d} descriptors, with bodies of {body:d} MiB"
)
def step_users(context, memory, descriptors, body):
    _open(
        context,
        lambda folder: places.UsersPlace(
            folder, memory, descriptors, body * _MEBIBYTE
        ),
    )


@behave.given(
    "a daemon of the users' interface as it is that may take {memory:d} MB "
    "and {descriptors:d} descriptors, with bodies of {body:d} MiB"
)
def step_users_as_is(context, memory, descriptors, body):
    step_users(context, memory, descriptors, body)


@behave.given(
    "a daemon of the users' interface for slow readers that may take "
    "{memory:d} MB and {descriptors:d} descriptors, with bodies of "
    "{body:d} MiB"
)
def step_slow_readers(context, memory, descriptors, body):
    _open(
        context,
        lambda folder: places.UsersPlace(
            folder, memory, descriptors, body * _MEBIBYTE, ("pressure",)
        ),
    )


@behave.given("a daemon of the project's interface")
def step_own(context):
    _open(context, places.OwnPlace)


@behave.when(
    "{count:d} clients send {way} to its {port} for {seconds:d} s",
)
def step_crowd(context, count, way, port, seconds):
    process = _start_crowd(context, count, way, port, seconds)
    # The store, the runner and the watch run meanwhile.
    while process.poll() is None:
        eventlet.sleep(_LOOK)
    output = process.stdout.read().decode()
    assert process.returncode == 0, output
    print("clients:", output.strip())


@behave.when("{count:d} clients send {way} to its {port} and go on")
def step_endless(context, count, way, port):
    process = _start_crowd(context, count, way, port, _ENDLESS)
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    eventlet.sleep(_BEGIN)
    assert process.poll() is None


def _start_crowd(context, count, way, port, seconds):
    place = context.place
    return green_subprocess.Popen(
        [
            *(sys.executable, "-m", "standins.crowds.main"),
            *("--address", place.address_by_port[port], "--way", way),
            *("--count", str(count), "--seconds", str(seconds)),
            *("--path", place.path, "--size", str(_MEBIBYTE)),
            *("--line", *place.lines),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )


@behave.then("the daemon runs")
def step_runs(context):
    assert context.watched.is_alive, context.place.daemon.output()[-2_000:]


@behave.then(
    "it has taken at most {memory:d} MB and {descriptors:d} descriptors"
)
def step_bounds(context, memory, descriptors):
    peak = context.watched.resident()
    most = context.watched.descriptors
    print(f"{peak / _MEGABYTE:.0f} MB, {most} descriptors")
    assert peak <= memory * _MEGABYTE, f"{peak} bytes"
    assert most <= descriptors, f"{most} descriptors"


@behave.then("an ordinary request is answered")
def step_answered(context):
    ended = context.place.ask()
    print("tries:", len(ended), ended[:5])
    assert ended[0].startswith("2"), ended[:20]
    assert context.watched.is_alive
    context.watched.look()


@behave.when("a client sends a body of {size:d} MiB in {way}")
def step_one(context, size, way):
    context.answer = context.place.send_framed(
        size * _MEBIBYTE, _FRAMING_BY_WAY[way]
    )


@behave.then("it is answered with success")
def step_success(context):
    assert context.answer.startswith("2"), context.answer
