"""Steps for the start and the shutdown of a daemon."""

import concurrent.futures
import json
import socket
import subprocess
import sys
import threading
import time

import behave
import urllib3

from standins import answer
from standins import deployment as deployments
from standins import process
from tests import drill

_PROMPT = "a long question"
_TOKENS = 400
_STOP_NOTICE_MS = 600


@behave.given("a daemon that is streaming a response")
def step_streaming(context):
    deployment = context.made = drill.open_in(context)
    engine = deployment.engine("vm-1", "sapporo", "--token-time=4")
    deployment.daemons(1, stop_notice=_STOP_NOTICE_MS)
    deployment.start()
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.answer = pool.submit(
        deployment.caller().chat, deployments.MODEL, _PROMPT, tokens=_TOKENS
    )
    load = f"http://{engine}/load"
    drill.eventually(
        lambda: urllib3.request("GET", load).json()["running"] == 1,
        "the engine runs the request",
    )


@behave.when("the daemon receives SIGTERM")
def step_term(context):
    context.connections = urllib3.HTTPConnectionPool(
        *context.made.addresses().callers.split(":"), maxsize=1
    )
    host, _, port = context.made.addresses().callers.rpartition(":")
    context.idle = socket.create_connection((host, int(port)), 5)
    context.add_cleanup(context.idle.close)
    # Opens the keep-alive connections before the signal.
    context.connections.request("GET", "/", retries=False)
    context.idle.sendall(b"GET / HTTP/1.1\r\nHost: one\r\n\r\n")
    assert context.idle.recv(65_536).startswith(b"HTTP/1.1 404")
    context.daemon = context.made.fleet.process_by_name["daemon-0"]
    context.exit = threading.Thread(target=context.daemon.end)
    context.exit.start()


def _fetch_readiness(context):
    url = f"http://{context.made.addresses().operators}/readyz"
    return urllib3.request("GET", url, retries=False)


@behave.then("it reports that it is not ready")
def step_unready(context):
    drill.eventually(
        lambda: _fetch_readiness(context).status == 503, "not ready"
    )
    assert "stopping" in _fetch_readiness(context).json()["reasons"]


@behave.then(
    "a request on a keep-alive connection during the stop notice is answered"
)
def step_keep_alive(context):
    body = {
        "model": deployments.MODEL,
        "messages": [{"role": "user", "content": "short"}],
        "max_tokens": 2,
    }
    answered = context.connections.request(
        "POST",
        "/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {deployments.TOKEN}"},
        retries=False,
    )
    assert answered.status == 200, answered.data


@behave.then("a keep-alive connection that carries no request is closed")
def step_idle_closed(context):
    assert context.idle.recv(65_536) == b""
    assert not context.answer.done(), "the response ended before that"


@behave.then("new connections are refused after the stop notice")
def step_refused(context):
    host, _, port = context.made.addresses().callers.rpartition(":")

    def refused():
        try:
            socket.create_connection((host, int(port)), 1).close()
        except ConnectionRefusedError:
            return True
        return False

    drill.eventually(refused, "the listener is closed")
    assert not context.answer.done(), (
        "the response ended before the listener closed"
    )


@behave.then(
    "the caller receives the whole response, and the daemon exits with 0"
)
def step_exits(context):
    response = context.answer.result(drill.PATIENCE)
    expected = answer.whole(deployments.MODEL, _PROMPT, _TOKENS)
    assert response.whole and response.text == expected, response
    context.exit.join(drill.PATIENCE)
    assert context.daemon.wait() == 0, context.daemon.output()


def _run_daemon(context, path):
    context.done = subprocess.run(
        [sys.executable, "-m", "citronvalve.daemon.main", "--settings", path],
        capture_output=True,
        text=True,
        timeout=drill.PATIENCE,
        check=False,
    )


def _write_settings(context, text):
    made = context.made = drill.open_in(context)
    path = made.fleet.folder / "bad.json5"
    path.write_text(text)
    return str(path)


_VALID_SETTINGS = {
    "name": "one",
    "datacentre": "sapporo",
    "callers": "127.0.0.1:1",
    "operators": "127.0.0.1:2",
    "peers": "127.0.0.1:3",
    "platform": "127.0.0.1:4",
}


@behave.when("a daemon starts with four errors in its settings")
def step_four_errors(context):
    settings = _VALID_SETTINGS | {
        "callers": "localhost",
        "body": "large",
        "colour": "green",
        "peer_secret_key": "hush-hush",
    }
    settings.pop("platform")
    _run_daemon(context, _write_settings(context, json.dumps(settings)))


@behave.then("it exits with 2 and reports all four, each with its remedy")
def step_names(context):
    assert context.done.returncode == 2, context.done
    for words in (
        "callers: it is 'localhost' (give an IP number",
        "body: it is 'large' (give bytes",
        "colour: there is no such setting",
        "platform: it is missing (give an IP number",
    ):
        assert words in context.done.stderr, context.done.stderr


@behave.then("an invalid secret key is not printed")
def step_secret(context):
    assert "hush-hush" not in context.done.stderr
    assert "peer_secret_key" in context.done.stderr


@behave.when("a daemon starts with a file that {what}")
def step_file(context, what):
    text = {"holds no JSON": "name = 5", "holds a list": "[1]"}.get(what)
    if text is None:
        _run_daemon(context, "no-such-file.json5")
        return
    _run_daemon(context, _write_settings(context, text))


@behave.when("a daemon starts on an address that is in use")
def step_in_use(context):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        others = {
            name: process.free_address()
            for name in ("operators", "peers", "platform")
        }
        settings = _VALID_SETTINGS | others | {"callers": address}
        _run_daemon(context, _write_settings(context, json.dumps(settings)))


@behave.then('it exits with 2 and prints "{message}"')
def step_prints(context, message):
    assert context.done.returncode == 2, context.done
    assert message in context.done.stderr, context.done.stderr


@behave.then("its metrics show the requests in progress and base units")
def step_metrics(context):
    url = f"http://{context.made.addresses().operators}/metrics"
    began = time.monotonic()
    text = urllib3.request("GET", url).data.decode()
    assert time.monotonic() - began < 1
    assert "citronvalve_in_progress 1" in text, text
    assert "citronvalve_table_age_seconds" in text, text
