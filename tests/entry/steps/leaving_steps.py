"""Steps about callers that disconnect or stop reading."""

import json
import socket

import behave
import urllib3

from standins import deployment as deployments
from tests import drill


def _send_chat(context, count, how, buffer=0):
    host, _, port = context.made.addresses().callers.rpartition(":")
    body = json.dumps(
        {
            "model": deployments.MODEL,
            "messages": [{"role": "user", "content": "leaving"}],
            "max_tokens": count,
            "stream": how == "streamed",
        }
    ).encode()
    peer = socket.socket()
    if buffer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    peer.connect((host, int(port)))
    context.add_cleanup(peer.close)
    peer.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
        % (deployments.TOKEN.encode(), len(body), body)
    )
    drill.eventually(
        lambda: _running(context) == 1, "the engine runs the request"
    )
    return peer


def _running(context):
    loads = [
        urllib3.request("GET", f"http://{address}/load").json()
        for address in context.engines
    ]
    return sum(load["running"] for load in loads)


@behave.when(
    "a caller disconnects in the middle of a {how} answer of {count:d} tokens"
)
def step_leave(context, how, count):
    context.log_from = len(_lines(context))
    _send_chat(context, count, how).close()


@behave.when("a caller of a streamed answer of {count:d} tokens reads nothing")
def step_no_read(context, count):
    context.log_from = len(_lines(context))
    _send_chat(context, count, "streamed", buffer=2_048)


def _lines(context):
    log = context.made.fleet.process_by_name["daemon-0"].output()
    return log.splitlines()


@behave.then('the engine stops, and one log line says "{outcome}"')
def step_stops(context, outcome):
    drill.eventually(lambda: _running(context) == 0, "the engine stops")

    def ended():
        new = _lines(context)[context.log_from :]
        return [json.loads(n) for n in new if '"request ended"' in n]

    drill.eventually(lambda: ended(), "a log line")
    assert [line["outcome"] for line in ended()] == [outcome], ended()
