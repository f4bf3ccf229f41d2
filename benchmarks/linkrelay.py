"""Processor time of a daemon that relays streams for another one."""

import collections.abc
import os
import random
import time

from citronvalve.daemon import green

green.patch()

import eventlet  # noqa: E402

from benchmarks import figure  # noqa: E402
from citronvalve.forward import connector  # noqa: E402
from citronvalve.forward import directory  # noqa: E402
from citronvalve.forward import environment  # noqa: E402
from citronvalve.forward import headernames  # noqa: E402
from citronvalve.forward import relayframe  # noqa: E402
from citronvalve.forward import relayserver  # noqa: E402
from citronvalve.forward import relaytransport  # noqa: E402
from citronvalve.model import clock  # noqa: E402
from citronvalve.policy import links  # noqa: E402
from citronvalve.replicas import runner  # noqa: E402
from standins import process  # noqa: E402
from tests import quietlog  # noqa: E402

_STREAMS, _EVENTS, _GAP = 40, 100, 0.025
_EVENT = b"id: 12\ndata: a piece of six tokens\n\n"


def _serve_upstream(sock) -> None:
    sock.recv(65_536)
    for _ in range(_EVENTS):
        eventlet.sleep(_GAP)
        sock.sendall(_EVENT)
    sock.close()


def _accept_upstream(listener) -> None:
    while True:
        eventlet.spawn(_serve_upstream, listener.accept()[0])


def _relay(address: str, upstream: str, result: int) -> None:
    env = environment.Environment(
        "daemon-2",
        "a",
        clock.SystemClock(),
        random.Random(1),
        quietlog.QuietLog(),
        headernames.HeaderNames(),
    )
    upstreams = directory.Directory("a")
    upstreams.update_runner(
        runner.Runner("u", "plain", upstream, "a", slots=6, list_version=1)
    )
    server = relayserver.RelayServer(
        address, env, upstreams, connector.Connector(env, links.Links("a"))
    )
    server.start()
    eventlet.sleep(1)
    began = time.process_time()
    eventlet.sleep(2 + _EVENTS * _GAP)
    os.write(result, b"%f" % (time.process_time() - began))


def _call(address: str) -> int:
    sock = eventlet.connect(("127.0.0.1", int(address.rpartition(":")[2])))
    opening = relayframe.Opening("daemon-1", "u", "request")
    relayed = relaytransport.RelayTransport(sock, "", opening, lambda: None)
    relayed.wait_opened(clock.SystemClock(), 2_000)
    relayed.send(b"POST / HTTP/1.1\r\n\r\n")
    count = 0
    while data := relayed.receive(65_536, 5_000):
        count += data.count(b"id:")
    relayed.close()
    return count


def run() -> collections.abc.Iterator[figure.Figure]:
    """Yield the processor time of a relayed event."""
    address = process.free_address()
    listener = eventlet.listen(("127.0.0.1", 0))
    upstream = "127.0.0.1:%d" % listener.getsockname()[1]
    read, write = os.pipe()
    child = os.fork()
    if not child:
        _relay(address, upstream, write)
        os._exit(0)
    eventlet.spawn(_accept_upstream, listener)
    eventlet.sleep(1.2)
    pool = eventlet.GreenPool()
    counts = list(pool.imap(_call, [address] * _STREAMS))
    spent = float(os.read(read, 100))
    os.waitpid(child, 0)
    yield figure.Figure("events relayed", sum(counts), "events")
    yield figure.Figure(
        "processor time of an event", spent / sum(counts) * 1e6, "us"
    )
