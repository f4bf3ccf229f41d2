"""Steps for the platform's clients; they run against its process."""

import concurrent.futures
import pathlib
import socket
import tempfile
import threading
import time

import behave
import msgspec
import urllib3

from citronvalve.model import clock
from citronvalve.model import manualclock
from citronvalve.storage import client
from citronvalve.storage import httpobjects
from citronvalve.storage import httptable
from citronvalve.storage import httpvms
from citronvalve.storage import rows
from standins import fleet
from standins import silentproxy

_WRITE = rows.Transaction(
    "attempt",
    (rows.Condition("t", "k", rows.NO_ROW),),
    (rows.Write("t", "k", {"x": 1}),),
)


@behave.given("the platform's process")
def step_platform(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.fleet = fleet.Fleet(pathlib.Path(folder.name))
    context.add_cleanup(context.fleet.end)
    context.address = context.fleet.start_platform()
    context.clock = manualclock.ManualClock()
    context.timeout = 2_000


def _set_fault(context, service, fault, calls=-1, delay=0):
    order = {"service": service, "fault": fault, "calls": calls}
    body = msgspec.json.encode(order | {"delay": delay})
    url = f"http://{context.fleet.platform}/faults"
    assert urllib3.request("POST", url, body=body).status == 200


@behave.given("the {service} service is {fault}")
def step_fault(context, service, fault):
    if fault != "healthy":
        name, _, delay = fault.partition(" by ")
        _set_fault(context, service.split()[0], name, delay=int(delay or 0))


@behave.given("the next {calls:d} responses of the table take {delay:d} ms")
def step_slow_responses(context, delay, calls):
    _set_fault(context, "table", "slow", calls, delay)


@behave.given('an intermediary that responds with "{status}"')
def step_intermediary(context, status):
    _serve(context, f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n", b"")


@behave.given("an intermediary that responds without end")
def step_endless_response(context):
    _serve(context, "HTTP/1.1 200 OK\r\n\r\n", b"x" * 1_000_000)


@behave.given("the system clock")
def step_system_clock(context):
    context.clock = clock.SystemClock()


@behave.given("an intermediary that responds byte by byte")
def step_slow_body(context):
    _serve(context, "HTTP/1.1 200 OK\r\n\r\n", b"x", 0.05)


def _serve(context, head, chunk, pause=0):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def run():
        while True:
            try:
                connection, _ = listener.accept()
                connection.recv(65_536)
                connection.sendall(head.encode())
                while chunk:
                    connection.sendall(chunk)
                    time.sleep(pause)
            except OSError:
                if listener.fileno() < 0:
                    return

    threading.Thread(target=run, daemon=True).start()


@behave.given("{count:d} pooled connections through a proxy")
def step_proxy(context, count):
    context.proxy = silentproxy.SilentProxy(context.address)
    context.add_cleanup(context.proxy.close)
    context.address = context.proxy.address
    # Responses are slow, so that each call needs its own connection.
    step_slow_responses(context, 200, count)
    _get_client(context, 2_000)
    _read_concurrently(context, count)
    assert context.proxy.accepted == count


def _get_client(context, timeout):
    if "platform_client" not in context:
        context.platform_client = client.PlatformClient(
            context.address, timeout, context.clock
        )
    context.platform_client._timeout = timeout
    return context.platform_client


@behave.when("open connections go silent")
def step_connections_silent(context):
    context.proxy.hush()


@behave.when("{seconds:d} s pass without a call")
def step_idle(context, seconds):
    context.clock.advance(seconds * 1_000)


@behave.when("the platform's process ends")
def step_platform_ends(context):
    context.fleet.end()


@behave.when("a row is written with a timeout of {timeout:d} ms")
def step_write(context, timeout):
    context.timeout = timeout
    table = httptable.HttpTable(_get_client(context, timeout))
    context.done = table.commit(_WRITE)


@behave.when("the same row is written again")
def step_write_again(context):
    step_write(context, context.timeout)


@behave.when("the table is read with a timeout of {timeout:d} ms")
def step_read(context, timeout):
    context.timeout = timeout
    table = httptable.HttpTable(_get_client(context, timeout))
    started_at = time.monotonic()
    context.done = table.scan("t")
    context.took = (time.monotonic() - started_at) * 1_000


@behave.when("the table is read by {count:d} concurrent calls")
def step_read_concurrently(context, count):
    started_at = time.monotonic()
    _read_concurrently(context, count)
    context.took = (time.monotonic() - started_at) * 1_000


def _read_concurrently(context, count):
    table = httptable.HttpTable(context.platform_client)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        assert all(pool.map(table.scan, "t" * count))


@behave.when("{call} is called")
def step_call(context, call):
    platform = _get_client(context, 2_000)
    calls = {
        "put": lambda: httpobjects.HttpObjects(platform).put("a/b", b"x"),
        "get": lambda: httpobjects.HttpObjects(platform).get("a/b"),
        "vms": lambda: httpvms.HttpVms(platform).vms("sapporo"),
    }
    context.done = calls[call]()


@behave.when("an empty object is written")
def step_write_empty_object(context):
    context.objects = httpobjects.HttpObjects(_get_client(context, 2_000))
    assert context.objects.put("empty", b"") is None


@behave.then("it is read back as empty")
def step_empty_object(context):
    assert context.objects.get("empty") == b""


@behave.then("the write is {outcome}")
@behave.then("the read is {outcome}")
@behave.then("the result is {outcome}")
def step_outcome(context, outcome):
    assert type(context.done).__name__ == outcome, context.done


@behave.then("the row is {presence} after the fault")
def step_presence(context, presence):
    for fault in ("down", "slow", "lose-answer"):
        _set_fault(context, "table", fault, 0)
    table = httptable.HttpTable(client.PlatformClient(context.address))
    assert bool(table.read("t", "k")) == (presence == "present")


@behave.then("it contains the current row")
def step_current_row(context):
    (row,) = context.done.rows
    assert row.value == {"x": 1}


@behave.then("the platform got {count:d} reads")
def step_read_count(context, count):
    url = f"http://{context.fleet.platform}/counts"
    assert urllib3.request("GET", url).json()["reads"] == count


@behave.then('its reason contains "{reason}"')
def step_reason(context, reason):
    assert reason in context.done.reason, context.done


@behave.then("it took at most {most:d} ms")
def step_took(context, most):
    assert context.took <= most, context.took
