"""Steps about outages of the store."""

import socket
import struct
import threading

import behave

from citronvalve.storage import client
from tests.storage import fleet as fleets

_SETTLE_TIME = 1_500
_LINGER_TIME = struct.pack("ii", 1, 0)


@behave.given("{count:d} daemons with the rows of the store")
def step_daemons(context, count):
    names = [f"d-{number}" for number in range(count)]
    context.fleet = fleets.Fleet(names, ("k-1", "k-2", "k-3"))
    context.fleet.sim.run(_SETTLE_TIME)
    assert not context.fleet.mismatches()


def _calls(context):
    daemons = context.fleet.daemon_by_name.values()
    return sum(daemon.store_client.calls for daemon in daemons)


def _set_rejected(daemons, is_rejected):
    for daemon in daemons:
        daemon.store_client.is_rejected = is_rejected


@behave.when("the store resets all calls for {seconds:d} s")
def step_outage(context, seconds):
    daemons = list(context.fleet.daemon_by_name.values())
    before = _calls(context)
    _set_rejected(daemons, True)
    context.fleet.sim.run(seconds * 1_000)
    context.calls = _calls(context) - before
    _set_rejected(daemons, False)


@behave.when(
    "the store resets all calls for {seconds:d} s, and the reader is another "
    "one after {until:d} s"
)
def step_other_reader(context, seconds, until):
    daemons = list(context.fleet.daemon_by_name.values())
    _set_rejected(daemons, True)
    context.fleet.sim.run(until * 1_000)
    context.fleet.leader = daemons[-1].name
    context.fleet.sim.run((seconds - until) * 1_000)
    _set_rejected(daemons, False)


@behave.when("the store resets all calls of one daemon for {seconds:d} s")
def step_one(context, seconds):
    daemon = list(context.fleet.daemon_by_name.values())[-1]
    _set_rejected([daemon], True)
    context.fleet.sim.run(seconds * 1_000)


@behave.when("a row is deleted, and {seconds:d} s passes")
def step_delete(context, seconds):
    context.fleet.store.delete("k-2")
    context.fleet.sim.run(seconds * 1_000)


@behave.then("the daemons have made at most {most:d} calls meanwhile")
def step_calls(context, most):
    assert context.calls <= most, context.calls


@behave.then("all daemons have the rows of the store")
def step_rows(context):
    assert not context.fleet.mismatches(), context.fleet.mismatches()


@behave.given("a platform that resets all connections")
def step_resetting(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.accepted = 0

    def run():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            context.accepted += 1
            connection.recv(65_536)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_TIME
            )
            connection.close()

    threading.Thread(target=run, daemon=True).start()
    port = listener.getsockname()[1]
    context.client = client.PlatformClient(f"127.0.0.1:{port}")


@behave.when("the table is read after {failed:d} reads that failed")
def step_read(context, failed):
    for _ in range(failed):
        assert not context.client.read("/rows")
    before = context.accepted
    assert not context.client.read("/rows")
    context.calls = context.accepted - before


@behave.then("that read made {calls:d} calls")
def step_read_calls(context, calls):
    assert context.calls == calls, context.calls
