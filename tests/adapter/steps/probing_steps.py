"""Steps about probes of runners while the leader itself stands still."""

import behave
import eventlet
from eventlet.green import socket
from eventlet import patcher

from citronvalve.model import clock
from citronvalve.replicas import probefailure
from citronvalve.replicas import runner

_REPORT = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Content-Length: 13\r\n\r\n{"staged":[]}'
)

# The monkey-patched modules would let the other green threads go on.
_socket = patcher.original("socket")
_threading = patcher.original("threading")
_time = patcher.original("time")


class _Runner:
    """Reads one probe on a system thread, also while the hub is blocked.

    :ivar asked: becomes readable when it has received the probe.
    :ivar may_answer: set to let it answer.
    """

    def __init__(self):
        self.asked, self._wake = socket.socketpair()
        self.may_answer = _threading.Event()
        self._listener = _socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        _threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listener.accept()
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        self._wake.fd.send(b"x")
        self.may_answer.wait()
        connection.sendall(_REPORT)


@behave.given("a runner that answers each probe at once")
@behave.given("a runner that accepts connections and answers nothing")
def step_runner(context):
    context.runner = _Runner()


def _start_probe(context):
    from adapter import runnerorders

    client = runnerorders.RunnerOrders()
    target = runner.Runner("i-1", "engine", context.runner.address, "zone-0")
    return eventlet.spawn(client.probe, target)


@behave.when("the leader stands still for {pause:f} s as the answer arrives")
def step_pause(context, pause):
    probe = _start_probe(context)
    # As after SIGSTOP, the hub goes on with the timers that are due.
    context.runner.asked.recv(1)
    context.runner.may_answer.set()
    _time.sleep(pause)
    context.result = probe.wait()


@behave.when("the leader probes it")
def step_probe(context):
    time_source = clock.SystemClock()
    started_at = time_source.now()
    context.result = _start_probe(context).wait()
    context.took = time_source.now() - started_at


@behave.then("the probe has an answer")
def step_answer(context):
    assert isinstance(context.result, runner.Runner), context.result


@behave.then("the probe has failed as silent within {seconds:f} s")
def step_failed(context, seconds):
    assert context.result is probefailure.ProbeFailure.SILENT, context.result
    assert context.took <= seconds * clock.SECOND, context.took
