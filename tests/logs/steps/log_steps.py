"""Steps for the decision log and the tool that explains it."""

import json
import os
import pathlib
import tempfile
import time

import behave
from eventlet import patcher

from citronvalve.cli import explaining
from citronvalve.daemon import decisionwriter
from citronvalve.model import clock
from citronvalve.model import manualclock
from tests.forward import rig as rigs

#: Requests at a replica, far more than it has slots.
_MORE_THAN_SLOTS = 500

_os = patcher.original("os")
_threading = patcher.original("threading")


@behave.given("a log whose reader {what}")
def step_log(context, what):
    context.clock = manualclock.ManualClock()
    context.reader, writer = os.pipe()
    context.what = what
    context.log = decisionwriter.DecisionWriter(
        "d", "z", context.clock, writer
    )
    if what == "has closed":
        os.close(context.reader)


def _read_all(context):
    _os.set_blocking(context.reader, False)
    got = b""
    while True:
        try:
            data = _os.read(context.reader, 65_536)
        except BlockingIOError:
            return got
        if not data:
            return got
        got += data


@behave.when("{count:d} lines are logged")
def step_log_lines(context, count):
    began = time.monotonic()
    context.got = b""
    for number in range(count):
        context.log.note("try ended", f"r-{number}", why="x" * 100)
        if number % 100 == 0:
            context.clock.advance(20)
            context.log.flush()
        if context.what == "reads slowly" and number % 1_000 == 0:
            context.got += _read_all(context)
    context.took = time.monotonic() - began


@behave.then("logging them took less than {seconds:g} s in total")
def step_took(context, seconds):
    assert context.took < seconds, context.took


@behave.then("every line that is read is complete")
def step_complete(context):
    if context.what == "has closed":
        return
    while True:
        got = _read_all(context)
        if not got:
            break
        context.got += got
        context.log.flush()
    lines = context.got.split(b"\n")
    assert lines[-1] == b""
    for line in lines[:-1]:
        json.loads(line)


@behave.then("lines that were dropped are counted")
def step_dropped(context):
    assert context.log.dropped > 0


@behave.when("{count:d} lines are queued and the daemon exits")
def step_exit(context, count):
    context.got = b""
    ended = _threading.Event()

    def read():
        while not ended.wait(0.01):
            context.got += _read_all(context)

    reader = _threading.Thread(target=read)
    if context.what == "reads at once":
        reader.start()
    for number in range(count):
        context.log.change("order given", runner=f"i-{number}", why="x" * 100)
        if number % 500 == 0:
            context.clock.advance(1_000)
    began = time.monotonic()
    context.log.finish()
    context.took = time.monotonic() - began
    ended.set()
    if reader.is_alive():
        reader.join()
    if context.what != "has closed":
        context.got += _read_all(context)


@behave.then("{count} lines are read, and it took at most {seconds:f} s")
def step_exited(context, count, seconds):
    assert context.took <= seconds, context.took
    lines = context.got.count(b"\n")
    if count == "less":
        assert lines < 1_000, lines
    else:
        assert lines == int(count), lines


@behave.when("more notes are logged than fit into a second")
def step_more(context):
    for number in range(5_000):
        context.log.note("try ended", f"r-{number}", why="x" * 100)
    context.dropped = context.log.dropped
    assert context.dropped


@behave.then("a state change is still logged")
def step_change(context):
    context.log.change("runner gone", runner="i-1")
    assert context.log.dropped == context.dropped


@behave.then("a line reports how many were dropped")
def step_reported(context):
    for number in range(5_000):
        context.log.note("try ended", f"r-{number}", why="x" * 100)
    dropped = context.log.dropped
    context.clock.advance(1_000)
    context.log.note("try ended", "later")
    got = b""
    for _ in range(100):
        context.log.flush()
        got += _read_all(context)
    reports = [
        json.loads(line)
        for line in got.splitlines()
        if b"lines dropped" in line
    ]
    assert [line["count"] for line in reports] == [dropped], reports


@behave.given("a daemon with scripted runners, whose log is recorded")
def step_rig(context):
    pass


_SCRIPTS_BY_KIND = {
    "refused": ("/once/a", {}),
    "late": (
        "/stream/a",
        {"head-1": ["silent_after_three"], "head-2": ["stream"]},
    ),
    "broken off": (
        "/stream/a",
        {"head-1": ["cut_in_an_event"], "head-2": ["cut_in_an_event"]},
    ),
}


@behave.given(
    "a log with {events} of a daemon, and a request {seconds:d} s later"
)
def step_events(context, events, seconds):
    lines = [
        {"wall_ms": number, "event": event, "upstream": "other"}
        for number, event in enumerate(events.split(", "))
    ]
    at = 1_000 * seconds
    lines.append({"wall_ms": at, "event": "refused", "request": "req-1"})
    context.recorded = "".join(
        json.dumps({"daemon": "daemon-1", **line}) + "\n" for line in lines
    )


@behave.when("the tool explains the request")
def step_explain(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "daemon.log"
        path.write_text(context.recorded)
        context.explanation = explaining.explain("req-1", str(path))


@behave.then("the tool shows {count:d} cuts")
def step_cuts(context, count):
    text = context.explanation.text
    assert text.count("links cut") == count, text


@behave.when("a request is {kind}")
def step_kind(context, kind):
    path, scripts = _SCRIPTS_BY_KIND[kind]
    context.rig = rigs.Rig(scripts)
    if "head-2" in scripts:
        held = context.rig.directory.runner_by_id["head-2"]
        context.rig.directory.update_runner(
            held._replace(
                datacentre="zone-1", list_version=held.list_version + 1
            )
        )
    context.rig.send(path, "X-Model: large\r\nX-Tokens: 100,60\r\n")


@behave.when("a full replica pool refuses a request")
def step_full(context):
    context.rig = rigs.Rig({"head-1": ["stream"]}, fair_shares=True)
    context.rig.loads.of("head-1").own = _MORE_THAN_SLOTS
    context.rig.send("/stream/a", "X-Model: large\r\nX-Tokens: 100,60\r\n")


@behave.when("the tool explains its id from the log")
def step_tool(context):
    now = clock.SystemClock().wall()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "daemon.log"
        path.write_text(
            "".join(
                json.dumps(
                    {
                        "wall_ms": now,
                        "event": event,
                        "daemon": "daemon-1",
                        **inputs,
                    },
                    default=str,
                )
                + "\n"
                for event, inputs in context.rig.log.lines
            )
        )
        context.explanation = explaining.explain("req-1", str(path))


@behave.then('the tool shows "{cause}"')
def step_cause(context, cause):
    assert int(context.explanation.code) == 0, context.explanation
    assert cause in context.explanation.text, context.explanation.text
