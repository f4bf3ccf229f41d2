"""A model engine on one VM: streams, load, orders, ramp, and faults.

Run one process a VM.  The VM of rank 0 serves for its group, and only while
all VMs of the group answer.
"""

from collections.abc import Iterator
import os
import time

import eventlet
import msgspec
import urllib3

from standins import answer
from standins import enginestate
from standins import wsgi

_HEARTBEAT_EVERY = 1.0
_PEERS_EVERY = 0.25
_PEER_TIMEOUT = 0.5


class Engine:
    """Generates the answers of :mod:`standins.answer`, slowly.

    :param state: the VM.
    :param slots: requests it bears when warm; more crash it when cold.
    :param cold_slots: requests it bears right after a start.
    :param ramp: ms from a start until it is warm.
    :param token_time: ms between two tokens.
    :param first_time: ms until the first token.
    """

    def __init__(
        self,
        state: enginestate.EngineState,
        *,
        slots: int,
        cold_slots: int,
        ramp: int,
        token_time: int,
        first_time: int,
    ) -> None:
        self.state = state
        self.slots = slots
        self.cold_slots = cold_slots
        self.ramp = ramp
        self.token_time = token_time
        self.first_time = first_time
        self.fault = ""
        self.fault_calls = 0
        self.most_running = 0
        self.runs: dict[str, int] = {}
        self._started = time.monotonic()
        self._cancelled: set[str] = set()
        self._running = 0

    def routes(self) -> wsgi.Routes:
        """Return the engine's HTTP interface."""
        return wsgi.Routes(
            {
                "POST /generate": self.generate,
                "POST /cancel": self.cancel,
                "POST /orders": self.orders,
                "POST /faults": self.faults,
                "GET /holding": self.holding,
                "GET /load": self.load,
                "GET /runs": lambda _: wsgi.Reply(200, self.runs),
            }
        )

    def bears(self) -> int:
        """Return how many requests the engine bears now."""
        if self.ramp <= 0:
            return self.slots
        age = (time.monotonic() - self._started) * 1_000
        grown = (self.slots - self.cold_slots) * min(1.0, age / self.ramp)
        return self.cold_slots + int(grown)

    def generate(self, call: wsgi.Call) -> wsgi.Reply:
        """Stream an answer from an offset on.

        :param call: the request.
        """
        order = call.json()
        if self._strikes("refuse") or self.state.state != "ready":
            return wsgi.Reply(503, {"ran": "no", "state": self.state.state})
        if order.get("fence", 0) < self.state.fence and self.state.refuses:
            return wsgi.Reply(409, {"ran": "no", "fence": self.state.fence})
        return wsgi.Reply(200, self._stream(order), "text/event-stream")

    def cancel(self, call: wsgi.Call) -> wsgi.Reply:
        """Stop a stream.

        :param call: names the request.
        """
        self._cancelled.add(call.json()["request"])
        return wsgi.Reply(200, {})

    def orders(self, call: wsgi.Call) -> wsgi.Reply:
        """Take an order of the system.

        :param call: the order.
        """
        order = call.json()
        if not self.state.take(order, eventlet.spawn_after):
            return wsgi.Reply(
                409, {"accepted": False, "fence": self.state.fence}
            )
        self._started = time.monotonic()
        return wsgi.Reply(
            200, {"accepted": True, "holding": self.state.holding()}
        )

    def holding(self, _call: wsgi.Call) -> wsgi.Reply:
        """Tell what the VM holds.

        :param _call: unused.
        """
        return wsgi.Reply(200, self.state.holding())

    def load(self, _call: wsgi.Call) -> wsgi.Reply:
        """Report the load.

        :param _call: unused.
        """
        return wsgi.Reply(
            200,
            {
                "start_id": self.state.start_id,
                "running": self._running,
                "queued": 0,
                "bears": self.bears(),
                "vms_missing": list(self.state.missing),
                "most_running": self.most_running,
            },
        )

    def faults(self, call: wsgi.Call) -> wsgi.Reply:
        """Misbehave on order.

        :param call: ``{"fault": name, "calls": how many}``; names are
            refuse, cut, silent, repeat, gap, stray, crash and restart.
        """
        order = call.json()
        self.fault = order["fault"]
        self.fault_calls = order.get("calls", 1)
        if self.fault == "restart":
            self.state.start_id += "+"
            self._started = time.monotonic()
        return wsgi.Reply(200, {})

    def watch_peers(self) -> None:
        """Keep looking whether the other VMs of the group answer."""
        http = urllib3.PoolManager(retries=False, timeout=_PEER_TIMEOUT)
        while True:
            gone = [
                peer["vm"]
                for peer in self.state.peers()
                if not _answers(http, peer["address"])
            ]
            self.state.missing = tuple(gone)
            eventlet.sleep(_PEERS_EVERY)

    def _strikes(self, fault: str) -> bool:
        if self.fault != fault or not self.fault_calls:
            return False
        self.fault_calls -= 1
        return True

    def _stream(self, order: dict) -> Iterator[bytes]:
        request, offset = order["request"], order.get("offset", 0)
        self.runs[request] = self.runs.get(request, 0) + 1
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        try:
            if self._running > self.bears():
                os._exit(3)
            yield b": heartbeat\n\n"
            self._wait(self.first_time)
            yield from self._pieces(order, request, offset)
        finally:
            self._running -= 1
            self._cancelled.discard(request)

    def _pieces(
        self, order: dict, request: str, offset: int
    ) -> Iterator[bytes]:
        prompt = order["messages"][-1]["content"]
        if "CRASH-THE-ENGINE" in prompt or self._strikes("crash"):
            os._exit(3)
        at = 0
        beat = time.monotonic()
        many = order["max_tokens"]
        for text in answer.tokens(order["model"], prompt, many):
            begin, at = at, at + len(text)
            if at <= offset:
                continue
            if request in self._cancelled or self.state.missing:
                return
            if self._strikes("silent"):
                self._say_nothing(request)
            if begin and self._strikes("cut"):
                return
            skip = max(0, offset - begin)
            yield from self._events(request, begin + skip, text[skip:])
            self._wait(self.token_time)
            if time.monotonic() - beat >= _HEARTBEAT_EVERY:
                beat = time.monotonic()
                yield b": heartbeat\n\n"
        yield _event({"request": request, "offset": at, "finish": "stop"})

    def _events(self, request: str, at: int, text: str) -> Iterator[bytes]:
        if self._strikes("gap"):
            return
        if self._strikes("stray"):
            yield _event({"request": "other", "offset": at, "text": "no "})
        piece = _event({"request": request, "offset": at, "text": text})
        yield piece
        if self._strikes("repeat"):
            yield piece

    def _say_nothing(self, request: str) -> None:
        while request not in self._cancelled:
            self._wait(10)

    def _wait(self, span: int) -> None:
        if span:
            eventlet.sleep(span / 1_000)


def _event(data: dict) -> bytes:
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def _answers(http: urllib3.PoolManager, address: str) -> bool:
    try:
        return http.request("GET", f"http://{address}/holding").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def main() -> None:
    """Serve one VM until SIGTERM."""
    parser = wsgi.parser(__doc__)
    parser.add_argument("--vm", required=True)
    parser.add_argument("--model", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--cold-slots", type=int, default=1)
    parser.add_argument("--ramp", type=int, default=0, help="ms")
    parser.add_argument("--token-time", type=int, default=5, help="ms")
    parser.add_argument("--first-time", type=int, default=20, help="ms")
    parser.add_argument("--load-time", type=int, default=200, help="ms")
    parser.add_argument("--ignores-old-fence", action="store_true")
    given = parser.parse_args()
    state = enginestate.EngineState(
        given.vm,
        given.model,
        refuses=not given.ignores_old_fence,
        load_time=given.load_time,
    )
    engine = Engine(
        state,
        slots=given.slots,
        cold_slots=given.cold_slots,
        ramp=given.ramp,
        token_time=given.token_time,
        first_time=given.first_time,
    )
    eventlet.spawn(engine.watch_peers)
    wsgi.serve(given.listen, engine.routes())
