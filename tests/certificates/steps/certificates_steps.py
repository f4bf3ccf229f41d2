"""Steps that call the record service through real daemons."""

import concurrent.futures
import itertools
import re
import signal
import socket

import behave
import urllib3

from tests.certificates import deployed
from tests import drill

_NUMBERS = itertools.count(1)
_PATH = "records/bags/7"
_BODY = b"issue"
_DEADLINE = {"X-Deadline-Ms": "1500"}


@behave.given("a record service behind two daemons, its own")
def step_own(context):
    deployed.start(context)
    step_shared(context)


@behave.given("a record service behind two daemons, shared")
def step_shared(context):
    context.number = next(_NUMBERS)
    context.issued_before = _issued(context)
    context.running_before = _running(context)


def _running(context):
    url = f"http://{context.service}/load"
    return urllib3.request("GET", url).json()["running"]


def _order(address, body):
    urllib3.request("POST", f"http://{address}/faults", json=body)


@behave.given("the service gets {fault:S}")
def step_service(context, fault):
    calls = 0 if fault == "nothing" else 1
    _order(context.service, {"fault": fault, "calls": calls})


@behave.when("the platform is {fault:S} for {calls:d} calls")
def step_platform(context, fault, calls):
    body = {"service": "table", "fault": fault, "calls": calls}
    _order(context.made.fleet.platform, body)


@behave.when("the platform recovers")
def step_recover(context):
    step_platform(context, "down", 0)


def _ask(context, daemon, key="k1"):
    caller = context.made.caller(daemon)
    own = f"{key}-{context.number}" if key else ""
    return caller.call("POST", _PATH, _BODY, own, _DEADLINE)


def _name(reply):
    kind = reply.problem.get("type", f"status:{reply.status}")
    return kind.rpartition(":")[2]


@behave.when("a caller asks for a certificate at daemon {daemon:d} with {key}")
def step_ask(context, daemon, key):
    context.first = getattr(context, "reply", None)
    name = key.partition("key ")[2]
    context.reply = _ask(context, daemon, name)
    if context.first is None:
        return

    # The response does not wait for the outcome to be written.  Until then,
    # a repeat correctly gets "in progress".
    def settled():
        if _name(context.reply) != "in-progress":
            return True
        context.reply = _ask(context, daemon, name)
        return False

    drill.eventually(settled, "the outcome of the first is recorded")


@behave.when(
    "a caller asks at daemon {daemon:d} with {key} until none is in progress"
)
def step_until(context, daemon, key):
    # The outcome is written after the response to the first caller.
    context.first = context.reply

    def ended():
        context.reply = _ask(context, daemon, key.partition("key ")[2])
        return _name(context.reply) != "in-progress"

    drill.eventually(ended, "a final reply")


def _during_call(context, action):
    # Calls with a silent fault keep running in the service.
    def working():
        return _running(context) > context.running_before

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(_ask, context, 0)
        drill.eventually(working, "the service runs the call")
        action()
        return future


@behave.when(
    "a caller asks for a certificate and daemon 0 is killed meanwhile"
)
def step_killed(context):
    daemon = context.made.fleet.process_by_name["daemon-0"]
    future = _during_call(context, lambda: daemon.send(signal.SIGKILL))
    assert isinstance(future.exception(), urllib3.exceptions.HTTPError)
    drill.eventually(lambda: _new(context) == 1, "the service is done")


@behave.when("daemon 0 stops, and the platform recovers after its stop notice")
def step_stop(context):
    daemon = context.made.fleet.process_by_name["daemon-0"]
    daemon.send(signal.SIGTERM)
    drill.eventually(lambda: _closed(daemon.address), "a closed listener")
    step_recover(context)
    assert daemon.wait() == 0


def _closed(address):
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) != 0


@behave.when(
    "a caller asks for a certificate and the platform goes down meanwhile"
)
def step_down(context):
    future = _during_call(context, lambda: step_platform(context, "down", -1))
    context.reply = future.result()


@behave.when("{count:d} callers send key k1 to both daemons at once")
def step_many(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures = [pool.submit(_ask, context, n % 2) for n in range(count)]
        context.replies = [future.result() for future in futures]


@behave.then("each reply is 201 or in-progress, and at least one is 201")
def step_each(context):
    names = {_name(reply) for reply in context.replies}
    assert "201" in names and names <= {"201", "in-progress"}, names
    texts = {reply.text for reply in context.replies if reply.whole}
    assert len(texts) == 1, texts


@behave.then("the reply is {expected:S}")
def step_reply(context, expected):
    assert _name(context.reply) == expected, context.reply


@behave.then("the reply is the first response again")
def step_same(context):
    assert context.reply.status == 201, context.reply
    assert context.reply.text == context.first.text, context.reply


@behave.then("the reply is {expected:S}, ran {value:S}")
def step_ran(context, expected, value):
    step_reply(context, expected)
    assert value == "-" or context.reply.problem["ran"] == value, context.reply


@behave.then("the reply at daemon 1 is {expected} within seconds")
def step_soon(context, expected):
    context.first = context.reply

    def answered():
        context.reply = _ask(context, 1)
        return context.reply.status == 201

    drill.eventually(answered, "a response at daemon 1")
    if expected == "the first response again":
        step_same(context)


@behave.then("{count:d} certificates were issued")
def step_issued(context, count):
    assert _new(context) == count, _new(context)


def _new(context):
    return _issued(context) - context.issued_before


def _issued(context):
    log = context.made.fleet.process_by_name["records-1"].output()
    return len(re.findall("^ISSUED", log, re.MULTILINE))
