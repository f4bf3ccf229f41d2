"""Steps about responses whose heads are cut."""

from collections.abc import Callable
from typing import NamedTuple

from adapter import runnerorders
import behave
import msgspec

from citronvalve.cli import daemons
from citronvalve.groups import engineload
from citronvalve.groups import holding
from citronvalve.groups import httpengines
from citronvalve.groups import order as engineorders
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import probefailure
from citronvalve.replicas import runner as runners
from citronvalve.storage import client as storageclient
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import failure
from citronvalve.upstreams import loadclient
from citronvalve.upstreams import plainclient
from citronvalve.upstreams import plainrequest
from citronvalve.upstreams import pools
from standins import cutanswers

_TIMEOUT = 1_000

_HOLDING = {
    "vm": "vm-1",
    "start_id": "s1",
    "fence": 3,
    "group": "",
    "vms": [],
    "rank": 0,
    "model": "",
    "version": "",
    "state": "empty",
}


def _framed(said, status="200 OK", head="Content-Type: application/json\r\n"):
    body = said if isinstance(said, bytes) else msgspec.json.encode(said)
    return (
        f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n"
        "X-After: 1\r\n\r\n"
    ).encode() + body


_EVENT = b'data: {"request":"r","offset":0,"text":"a","finish":"stop"}\n\n'

_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)

_ANSWER_BY_NAME = {
    "a body": _framed(b'{"Rows":[],"RowVersion":7}'),
    "an empty body": _framed(b""),
    "a body's head": _framed(b"x" * 9)[:-9],
    "no content": b"HTTP/1.1 204 No Content\r\nX-After: 1\r\n\r\n",
    "chunks": _CHUNKED + b"3\r\nabc\r\n0\r\n\r\n",
    "an event": _CHUNKED + b"%x\r\n%b\r\n" % (len(_EVENT), _EVENT),
    "a load report": _framed(
        {"start_id": "s1", "running": 1, "queued": 0, "bears": 4}
    ),
    "an acceptance": _framed({"accepted": True, "holding": _HOLDING}),
    "a holding": _framed(_HOLDING),
    "an engine load": _framed(
        {"start_id": "s1", "running": 1, "queued": 0, "bears": 4}
    ),
    "a report": _framed({"Staged": [], "born": 7}),
    "a status": _framed(
        {
            "name": "one",
            "datacentre": "sapporo",
            "table_version": 1,
            "table_age_ms": 5,
        }
    ),
    "status 200": _framed(b""),
    "status 204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "status 412": _framed({"Rows": []}, "412 Precondition Failed"),
    "status 503": _framed(
        {"reason": "busy", "done": False}, "503 Service Unavailable"
    ),
}


def _plain(method, is_new=False):
    def call(address):
        body = b"ask" if method == "POST" else b""
        request = plainrequest.PlainRequest(
            method, "/", {}, body, _TIMEOUT, is_new
        )
        return plainclient.PlainClient(pools.Pools()).send(address, request)

    return call


def _generate(address):
    ask = {"request": "r", "model": "m", "messages": [], "max_tokens": 1}
    ask |= {"priority": 0, "offset": 0, "fence": 0}
    stream = engineclient.EngineClient(pools.Pools()).generate(
        address, ask, _TIMEOUT
    )
    if isinstance(stream, failure.Failure):
        return stream
    first = next(iter(stream))
    stream.close()
    return first


def _load(address):
    client = loadclient.LoadClient(pools.Pools(), clock.SystemClock())
    return client.fetch_report("engine", address)


def _engine(call):
    return lambda address: call(httpengines.HttpEngines(), address)


_ENGINE_ORDER = engineorders.Order(3, "a1", engineorders.OrderKind.CLOSE)


def _store(call):
    return lambda address: call(storageclient.PlatformClient(address))


def _target(address):
    return runners.Runner("i-1", "svc", address, "zone-0", start_id=1)


def _order(address):
    key = membership.GroupKey("large~1", 1)
    return runnerorders.RunnerOrders(clock.SystemClock()).send(
        _target(address), orders.Order(orders.OrderKind.CUT, "i-1", key)
    )


def _report(address):
    client = runnerorders.RunnerOrders(clock.SystemClock())
    return client.probe(_target(address))


def _status(address):
    (found,) = daemons.query_all([address])
    return found.status


class _Client(NamedTuple):
    """A call with an address, and the type of a whole answer."""

    call: Callable
    whole: type


_PLAIN = plainrequest.PlainResponse
_STORED = storageclient.Response

_CLIENT_BY_NAME = {
    "a plain GET": _Client(_plain("GET"), _PLAIN),
    "a plain HEAD": _Client(_plain("HEAD"), _PLAIN),
    "a plain POST": _Client(_plain("POST"), _PLAIN),
    "a new plain POST": _Client(_plain("POST", True), _PLAIN),
    "a generate request": _Client(_generate, object),
    "a load report": _Client(_load, object),
    "an engine's order": _Client(
        _engine(lambda engines, a: engines.send_order(a, _ENGINE_ORDER)),
        object,
    ),
    "an engine's holding": _Client(
        _engine(lambda engines, a: engines.read_holding(a)), holding.Holding
    ),
    "an engine's load": _Client(
        _engine(lambda engines, a: engines.read_load(a)),
        engineload.EngineLoad,
    ),
    "a store's read": _Client(
        _store(lambda store: store.read("/v1/rows-get")), _STORED
    ),
    "a store's long poll": _Client(
        _store(lambda store: store.long_poll("/v1/rows-feed", _TIMEOUT)),
        _STORED,
    ),
    "a store's write": _Client(
        _store(lambda store: store.write("POST", "/v1/rows-tx", b"{}")),
        _STORED,
    ),
    "a runner's order": _Client(_order, orders.OrderResult),
    "a runner's report": _Client(_report, runners.Runner),
    "a daemon's status": _Client(_status, daemons.DaemonStatus),
}


def _is_failure(found):
    if isinstance(found, (failure.Failure, missing.Missing)):
        return True
    return found in (
        probefailure.ProbeFailure.BROKEN,
        orders.OrderResult.SILENT,
    )


@behave.given("{client} and a server that answers with {answer}")
def step_client(context, client, answer):
    context.client = _CLIENT_BY_NAME[client]
    context.server = cutanswers.CutAnswers()
    context.add_cleanup(context.server.close)
    context.server.answer = _ANSWER_BY_NAME[answer]


@behave.when("its answer is {how} after each byte but the last")
def step_cut(context, how):
    server = context.server
    server.is_reset = how == "reset"
    context.found_by_length = {}
    for length in range(len(server.answer)):
        server.sent = length
        found = context.client.call(server.address)
        context.found_by_length[length] = found


@behave.then("the client reports a failure each time")
def step_failures(context):
    wrong = {
        context.server.answer[:length][-30:]: found
        for length, found in context.found_by_length.items()
        if not _is_failure(found)
    }
    assert not wrong, wrong


@behave.then("it takes the whole answer for one")
def step_whole(context):
    context.server.is_reset = False
    context.server.sent = len(context.server.answer)
    found = context.client.call(context.server.address)
    assert not _is_failure(found), found
    assert isinstance(found, context.client.whole), found


@behave.then("the write may have been done or not, each time")
def step_lost(context):
    wrong = {
        context.server.answer[:length][-30:]: found
        for length, found in context.found_by_length.items()
        if not isinstance(found, missing.AnswerLost)
    }
    assert not wrong, wrong
