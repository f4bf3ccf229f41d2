"""Steps about truncated responses of plain services."""

import socket
import threading

import behave

from citronvalve.upstreams import plainclient
from citronvalve.upstreams import plainrequest
from citronvalve.upstreams import pools

_LENGTH = b"HTTP/1.1 201 Created\r\nContent-Length: 8\r\n\r\n"
_CHUNKS = b"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n"

_BYTES_BY_NAME = {
    "all of its length": _LENGTH + b"bag no 7",
    "half of its length": _LENGTH + b"bag ",
    "none of its length": _LENGTH,
    "all of its chunks": _CHUNKS + b"4\r\nbag \r\n4\r\nno 7\r\n0\r\n\r\n",
    "half of its chunks": _CHUNKS + b"4\r\nbag \r\n",
    "half of a chunk": _CHUNKS + b"8\r\nbag ",
    "no response": b"",
    "half of its header": _LENGTH[:20],
}


@behave.given("a service that sends {sent} and closes")
def step_service(context, sent):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def serve():
        connection, _ = listener.accept()
        with connection:
            # Unread data would turn the close into a reset, which the
            # library detects by itself.
            read = b""
            while not read.endswith(b"issue"):
                read += connection.recv(65_536)
            connection.sendall(_BYTES_BY_NAME[sent])

    threading.Thread(target=serve, daemon=True).start()


@behave.when("the client sends it a request")
def step_call(context):
    client = plainclient.PlainClient(pools.Pools())
    call = plainrequest.PlainRequest(
        "POST", "/bags/7", {}, b"issue", 2_000, True
    )
    context.result = client.send(context.address, call)


@behave.then("it gets the response")
def step_response(context):
    assert context.result.status == 201, context.result
    assert context.result.body == b"bag no 7", context.result


@behave.then("it gets {kind:w}")
def step_kind(context, kind):
    assert getattr(context.result, "kind", None) == kind, context.result
