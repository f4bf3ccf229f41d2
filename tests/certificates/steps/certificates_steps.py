"""Steps that call a record service through real daemons."""

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


@behave.when("the platform is well")
def step_well(context):
    step_platform(context, "down", 0)


def _ask(context, daemon, key="k1"):
    caller = context.made.caller(daemon)
    own = f"{key}-{context.number}" if key else ""
    return caller.call("POST", _PATH, _BODY, own, _DEADLINE)


def _name(seen):
    kind = seen.problem.get("type", f"status:{seen.status}")
    return kind.rpartition(":")[2]


@behave.when("a caller asks for a certificate at daemon {daemon:d} with {key}")
def step_ask(context, daemon, key):
    context.first = getattr(context, "seen", None)
    name = key.partition("key ")[2]
    context.seen = _ask(context, daemon, name)
    if context.first is None:
        return

    # The caller's answer does not wait for its record: until that is
    # written, a repeat is truly told that the first is in progress.
    def settled():
        if _name(context.seen) != "in-progress":
            return True
        context.seen = _ask(context, daemon, name)
        return False

    drill.eventually(settled, "the outcome of the first is recorded")


@behave.when(
    "a caller asks at daemon {daemon:d} with {key} until none is in progress"
)
def step_until(context, daemon, key):
    # The outcome is written after the first caller has its answer.
    context.first = context.seen

    def ended():
        context.seen = _ask(context, daemon, key.partition("key ")[2])
        return _name(context.seen) != "in-progress"

    drill.eventually(ended, "a final answer")


def _meanwhile(context, act):
    # Calls that were made to fall silent run on in the service.
    def working():
        return _running(context) > context.running_before

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        asked = pool.submit(_ask, context, 0)
        drill.eventually(working, "the service works")
        act()
        return asked


@behave.when(
    "a caller asks for a certificate and daemon 0 is killed meanwhile"
)
def step_killed(context):
    daemon = context.made.fleet.process_by_name["daemon-0"]
    asked = _meanwhile(context, lambda: daemon.send(signal.SIGKILL))
    assert isinstance(asked.exception(), urllib3.exceptions.HTTPError)
    drill.eventually(lambda: _new(context) == 1, "the service is done")


@behave.when("daemon 0 leaves, and the platform is well after its notice")
def step_leaves(context):
    daemon = context.made.fleet.process_by_name["daemon-0"]
    daemon.send(signal.SIGTERM)
    drill.eventually(lambda: _closed(daemon.address), "a closed listener")
    step_well(context)
    assert daemon.wait() == 0


def _closed(address):
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) != 0


@behave.when(
    "a caller asks for a certificate and the platform goes down meanwhile"
)
def step_down(context):
    asked = _meanwhile(context, lambda: step_platform(context, "down", -1))
    context.seen = asked.result()


@behave.when("{count:d} callers send key k1 to both daemons at once")
def step_many(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        asked = [pool.submit(_ask, context, n % 2) for n in range(count)]
        context.told = [one.result() for one in asked]


@behave.then("each is told 201 or in-progress, and one at least 201")
def step_each(context):
    names = {_name(seen) for seen in context.told}
    assert "201" in names and names <= {"201", "in-progress"}, names
    texts = {seen.text for seen in context.told if seen.whole}
    assert len(texts) == 1, texts


@behave.then("it is told {told:S}")
def step_told(context, told):
    assert _name(context.seen) == told, context.seen


@behave.then("it is told the same answer")
def step_same(context):
    assert context.seen.status == 201, context.seen
    assert context.seen.text == context.first.text, context.seen


@behave.then("it is told {told:S}, ran {said:S}")
def step_ran(context, told, said):
    step_told(context, told)
    assert said == "-" or context.seen.problem["ran"] == said, context.seen


@behave.then("a caller at daemon 1 is told {told} within seconds")
def step_soon(context, told):
    context.first = context.seen

    def answered():
        context.seen = _ask(context, 1)
        return context.seen.status == 201

    drill.eventually(answered, "an answer at daemon 1")
    if told == "the same answer":
        step_same(context)


@behave.then("{count:d} certificates were issued")
def step_issued(context, count):
    assert _new(context) == count, _new(context)


def _new(context):
    return _issued(context) - context.issued_before


def _issued(context):
    log = context.made.fleet.process_by_name["records-1"].output()
    return len(re.findall("^ISSUED", log, re.MULTILINE))
