"""What one token costs a daemon that relays many streams at once.

One real daemon and one engine; some 5,000 tokens a second, which is one
daemon's part of the target, are spread over more and more streams.
"""

from collections.abc import Iterator
import json
import selectors
import socket
import time
from typing import NamedTuple

from benchmarks import entry
from benchmarks import figure
from benchmarks import procstat
from citronvalve.upstreams import assembler
from citronvalve.upstreams import piece
from standins import deployment as deployments

_DONE = b"[DONE]"
_SECONDS = 120
_US = 1e6
_PIECES = 200_000
_BLOCK = 65_536


class Load(NamedTuple):
    """Streams at once, ms between the tokens of one, tokens of each."""

    streams: int
    token_time: int
    tokens: int


_LOADS = (Load(20, 4, 1_500), Load(200, 40, 150), Load(1_000, 200, 30))


def run() -> Iterator[figure.Figure]:
    """Yield the processor time of a token, whole and of its check."""
    yield figure.Figure("cpu a token's offset check", _check(), "us")
    for load in _LOADS:
        options = (f"--token-time={load.token_time}", "--first-time=50")
        with entry.deployed(*options) as (made, pid):
            before = procstat.cpu_seconds(pid)
            began = time.monotonic()
            _read_all(made, load)
            took = time.monotonic() - began
            spent = procstat.cpu_seconds(pid) - before
        count = load.streams * load.tokens
        yield figure.Figure(
            f"cpu a token at {load.streams} streams", spent / count * _US, "us"
        )
        yield figure.Figure(
            f"tokens a second at {load.streams} streams", count / took, "1/s"
        )


def _check() -> float:
    answer = assembler.Assembler("r")
    sent = [piece.Piece("r", n * 5, "token") for n in range(_PIECES)]
    began = time.process_time()
    for one in sent:
        answer.accept(one)
    return (time.process_time() - began) / _PIECES * _US


def _read_all(made: deployments.Deployment, load: Load) -> None:
    """Read all streams in one thread, until each has its end mark.

    :raises RuntimeError: when one ends without it, or time runs out.
    """
    host, _, port = made.addresses().callers.rpartition(":")
    with selectors.DefaultSelector() as waiting:
        for number in range(load.streams):
            caller = socket.create_connection((host, int(port)))
            caller.sendall(_request(number, load.tokens))
            waiting.register(caller, selectors.EVENT_READ, bytearray())
        until = time.monotonic() + _SECONDS
        while waiting.get_map():
            if time.monotonic() > until:
                raise RuntimeError("the streams did not end in time")
            for key, _ in waiting.select(1):
                if _ended(key):
                    waiting.unregister(key.fileobj)
                    key.fileobj.close()


def _ended(key: selectors.SelectorKey) -> bool:
    read = key.fileobj.recv(_BLOCK)
    key.data.extend(read)
    if not read:
        raise RuntimeError(f"a stream broke off: {bytes(key.data[-200:])!r}")
    return _DONE in key.data[-len(read) - len(_DONE) :]


def _request(number: int, tokens: int) -> bytes:
    body = json.dumps(
        {
            "model": deployments.MODEL,
            "messages": [{"role": "user", "content": f"question {number}"}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: daemon\r\n"
        f"Authorization: Bearer {deployments.TOKEN}\r\n"
        f"X-Deadline-Ms: {_SECONDS * 1_000}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
