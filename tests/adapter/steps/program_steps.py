"""Steps for the program on the users' machines."""

import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

import behave
import eventlet
from eventlet.green import socket
from eventlet.green import subprocess as green_subprocess

from standins import rowstore
from standins import scriptedrunner

_PROGRAM = pathlib.Path("platform/serve.py")
_TIMEOUT_SECONDS = 15


def _free_port():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


def _write_settings(context, **changes):
    ports = context.ports
    value = {
        "NodeName": "front-a-1",
        "Zone": "zone-a",
        "Ip": "127.0.0.1",
        "Listen": {
            "Front": f"127.0.0.1:{ports[0]}",
            "Ready": f"127.0.0.1:{ports[1]}",
        },
        "InternalPorts": [ports[2], ports[2]],
        "Bootstrap": True,
        "Bounds": {"RetryBudgetSlack": 130, "GraceS": 8},
        "Platform": {"Address": context.store.address},
    }
    context.path.write_text(json.dumps(value | changes))


def _prepare(context):
    context.store = rowstore.RowStore()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "local.json"
    context.log = pathlib.Path(folder.name) / "log"
    context.ports = [_free_port() for _ in range(3)]


def _start(context, *words):
    env = {**os.environ, "CITRONVALVE_CONFIG": str(context.path)}
    with context.log.open("wb") as out:
        process = green_subprocess.Popen(
            [sys.executable, "-W", "ignore", str(_PROGRAM), *words],
            stdout=out,
            stderr=subprocess.STDOUT,
            env=env,
        )
    context.add_cleanup(_end, process)
    return process


def _end(process):
    if process.poll() is None:
        process.kill()
        process.wait()


def _eventually(condition, what):
    until = time.monotonic() + _TIMEOUT_SECONDS
    while time.monotonic() < until:
        if condition():
            return
        eventlet.sleep(0.05)
    raise AssertionError(f"not in {_TIMEOUT_SECONDS} s: {what}")


def _has_event(context, event):
    return f'"event":"{event}"' in context.log.read_text()


def _ready(context):
    got = scriptedrunner.exchange(
        f"127.0.0.1:{context.ports[1]}",
        b"GET /v1/ready HTTP/1.0\r\n\r\n",
        1.0,
    )
    return b" 200 " in got.partition(b"\r\n")[0]


def _send_request(context, deadline=3_000, seconds=4.0):
    return scriptedrunner.exchange(
        f"127.0.0.1:{context.ports[0]}",
        b"GET /a/b HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k\r\n"
        b"X-Attempt-Id: one\r\nX-Deadline-Ms: %d\r\n"
        b"Connection: close\r\n\r\n" % deadline,
        seconds,
    )


@behave.given("the program runs beside a store and a runner")
def step_run(context):
    _run(context, ["whole", "takes_a_second"], {})


@behave.given(
    "the program runs with a grace of {seconds:d} s beside a store and a "
    "runner that answers nothing"
)
def step_run_silent(context, seconds):
    _run(context, ["silent"], {"GraceS": seconds})


def _run(context, script, bounds):
    _prepare(context)
    context.runner = scriptedrunner.ScriptedRunner(
        "i-1",
        script,
        "X-Attempt-Id",
        "X-Runner-Seal",
    )
    context.add_cleanup(context.runner.close)
    context.store.put(
        "op",
        "config",
        {
            "Version": 3,
            "Routes": [
                {
                    "Name": "r",
                    "Host": "h.example",
                    "Prefix": "/a/",
                    "Kind": "safe",
                    "TimeoutMs": 8000,
                    "TargetLatencyMs": 900,
                    "Service": "s",
                }
            ],
            "Services": [{"Name": "s"}],
            "Tenants": [{"Name": "team-1", "ApiKeys": ["k"]}],
        },
    )
    context.store.put(
        "servers",
        "i-1",
        {
            "Service": "s",
            "Address": context.runner.address,
            "Zone": "zone-a",
            "State": "ready",
            "Slots": 6,
        },
    )
    bounds = {"RetryBudgetSlack": 130, "GraceS": 8} | bounds
    _write_settings(context, Bounds=bounds)
    context.process = _start(context)

    def serves():
        try:
            return _ready(context)
        except OSError:
            return False

    _eventually(serves, "the program is ready")


@behave.when("a caller sends a request")
def step_ask(context):
    context.got = _send_request(context)


@behave.then("the caller gets the whole response of the runner")
def step_answer(context):
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    assert context.got.endswith(b"answer of i-1"), context.got


@behave.then("the runner has received the team and not the key")
def step_team(context):
    received = context.runner.requests[0].lower()
    assert "x-tenant: team-1" in received, received
    assert "x-expect-runner: i-1" in received, received
    assert "x-api-key" not in received, received


@behave.when("the settings file changes and the program gets SIGHUP")
def step_change(context):
    _write_settings(context, Bounds={"RetryBudgetSlack": 99, "GraceS": 6})
    context.process.send_signal(signal.SIGHUP)


@behave.then("it logs the reload")
def step_reloaded(context):
    _eventually(
        lambda: _has_event(context, "reloaded"), "a line of the reload"
    )


@behave.when(
    "an invalid settings file replaces it and the program gets SIGHUP"
)
def step_spoil(context):
    context.path.write_text("{")
    context.process.send_signal(signal.SIGHUP)


@behave.then("it logs that the reload was refused, and goes on serving")
def step_refused(context):
    _eventually(lambda: _has_event(context, "reload refused"), "a refusal")
    assert _ready(context)


@behave.when("it gets SIGTERM while a request is in progress")
def step_stop(context):
    pending = eventlet.spawn(_send_request, context)
    _eventually(lambda: len(context.runner.requests) > 1, "a request")
    context.process.send_signal(signal.SIGTERM)
    _eventually(lambda: _has_event(context, "stopping"), "a line of the stop")
    context.ready = _ready(context)
    context.got = pending.wait()


@behave.when("it gets SIGTERM while a request waits for the runner")
def step_stop_waiting(context):
    eventlet.spawn(_send_request, context, 7_000, 8.0)
    _eventually(lambda: context.runner.requests, "a request")
    context.process.send_signal(signal.SIGTERM)


@behave.then(
    "one line says that the request is broken since the daemon stopped"
)
def step_cut(context):
    lines = map(json.loads, context.log.read_text().splitlines())
    ended = [
        (line["request"], line["outcome"], line["reason"])
        for line in lines
        if line.get("event") == "request ended"
    ]
    assert ended == [("one", "broken", "stopped")], ended


@behave.then("it is not ready, and the caller gets the whole response")
def step_not_ready(context):
    assert not context.ready
    step_answer(context)


@behave.then("it exits with 0")
def step_ended(context):
    _eventually(lambda: context.process.poll() is not None, "its end")
    assert context.process.poll() == 0, context.log.read_text()[-500:]


@behave.when("the program is started with a settings file without an address")
def step_no_address(context):
    _prepare(context)
    _write_settings(context, Platform={})
    context.process = _start(context)


@behave.then("it exits with 2 and names the field")
def step_names(context):
    _eventually(lambda: context.process.poll() is not None, "its end")
    assert context.process.poll() == 2
    assert "Address" in context.log.read_text(), context.log.read_text()


@behave.when("the program checks a settings file")
def step_check(context):
    _prepare(context)
    _write_settings(context)
    context.process = _start(context, "check", str(context.path))


@behave.then("it prints the daemon's settings")
def step_printed(context):
    _eventually(lambda: context.process.poll() is not None, "its end")
    shown = json.loads(context.log.read_text())
    assert shown["grace"] == 8_000
    assert shown["repeats"]["slack"] == 130


#: Counters and histograms that are served only after their first observation.
_EXPOSED_ON_USE = {
    "citronvalve_forward_openings_total",
    "citronvalve_forward_excess_total",
    "citronvalve_forward_relayings_total",
    "citronvalve_forward_malformed_total",
    "citronvalve_forward_connections_ended_total",
    "citronvalve_forward_bodies_ended_total",
    "citronvalve_forward_orders_total",
    "citronvalve_forward_event_gap_seconds",
}


def _documented_metrics():
    page = pathlib.Path("docs/OPERATIONS.md").read_text()
    part = page.split("### Metrics")[1].split("\n|")[0]
    names = re.findall(r"`(\w+)`", part)
    first, *rest = names
    prefix = "citronvalve_forward"
    found = {first}
    for name in rest:
        if name.startswith("citronvalve"):
            prefix = "citronvalve"
            found.add(name)
        else:
            found.add(prefix + name)
    return found


@behave.then("the metrics that it serves are those on the operators' page")
def step_metrics(context):
    connection = http.client.HTTPConnection("127.0.0.1", context.ports[1])
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    served = set(re.findall(r"^# TYPE (\w+) ", text, re.M))
    page = _documented_metrics()
    assert served <= page, served - page
    assert page - _EXPOSED_ON_USE <= served, page - served
