"""The platform in one process: table service, objects and VMs over HTTP.

``POST /faults`` makes it misbehave; NamedTuples travel as JSON arrays.
"""

from collections.abc import Callable
import os
import re
import signal
from typing import Any
from typing import NamedTuple
import urllib.parse

# DNS by greenlets would replace the resolver of the whole process.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

import defopt  # noqa: E402
import eventlet  # noqa: E402
from eventlet import wsgi  # noqa: E402
import msgspec  # noqa: E402

from citronvalve.model import clock  # noqa: E402
from citronvalve.model import missing  # noqa: E402
from citronvalve.storage import rows  # noqa: E402
from citronvalve.storage import vmlist  # noqa: E402
from standins import faults  # noqa: E402
from standins import memoryobjects  # noqa: E402
from standins import memorytable  # noqa: E402
from standins import memoryvms  # noqa: E402

_LARGEST_BODY = 32 * 1024 * 1024


class FaultOrder(msgspec.Struct):
    """The body of ``POST /faults``; ``delay`` in ms."""

    service: str
    fault: faults.Fault
    calls: int = -1
    delay: int = 0


class Reply(NamedTuple):
    """What goes back; status 0 closes the connection without an answer."""

    status: int
    body: bytes


class Call(NamedTuple):
    """One request, taken apart."""

    words: tuple[str, ...]
    query: dict[str, str]
    body: bytes


_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}
_LOST = Reply(0, b"")


class Platform:
    """Serves the in-memory stand-ins.

    :param lag: ms by which the list of VMs lags.
    """

    def __init__(self, lag: clock.Ms = 0) -> None:
        self._lag = lag
        self.table = memorytable.MemoryTable()
        self.objects = memoryobjects.MemoryObjects()
        self.vms = memoryvms.MemoryVms(clock.SystemClock(), lag)
        self._faults_by_service = {
            "table": self.table.faults,
            "objects": self.objects.faults,
            "vms": self.vms.faults,
        }
        self._routes: tuple[tuple[str, str, Callable[[Call], Reply]], ...] = (
            ("GET", r"/rows/([^/]+)/([^/]+)", self._read),
            ("GET", r"/rows/([^/]+)", self._scan),
            ("POST", r"/transactions", self._commit),
            ("GET", r"/objects/([^/]+)", self._get),
            ("PUT", r"/objects/([^/]+)", self._put),
            ("GET", r"/vms", self._vms),
            ("POST", r"/vms", self._add_vm),
            ("DELETE", r"/vms/([^/]+)", self._remove_vm),
            ("POST", r"/faults", self._order_fault),
            ("POST", r"/reset", self._reset),
            ("GET", r"/healthz", lambda call: _json("ok")),
            ("GET", r"/counts", self._counts),
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        """Answer one WSGI request."""
        reply = self._answer(environ)
        if not reply.status:
            wsgi.WSGI_LOCAL.already_handled = True
            return []
        reason = _REASONS.get(reply.status, "Unavailable")
        start_response(
            f"{reply.status} {reason}",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(reply.body))),
            ],
        )
        return [reply.body]

    def _answer(self, environ: dict[str, Any]) -> Reply:
        # The raw path: a key may hold a quoted slash.
        path = environ["RAW_PATH_INFO"].split("?")[0]
        for method, pattern, handler in self._routes:
            match = re.fullmatch(pattern, path)
            if match and method == environ["REQUEST_METHOD"]:
                return self._handled(handler, match.groups(), environ)
        return _json("no such path", 404)

    def _handled(
        self,
        handler: Callable[[Call], Reply],
        words: tuple[str, ...],
        environ: dict[str, Any],
    ) -> Reply:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > _LARGEST_BODY:
            return _json("the body is too large", 400)
        call = Call(
            tuple(urllib.parse.unquote(word) for word in words),
            dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
            environ["wsgi.input"].read(length),
        )
        try:
            return handler(call)
        except (msgspec.MsgspecError, ValueError) as error:
            return _json(str(error), 400)

    def _read(self, call: Call) -> Reply:
        return self._late("table", _reply(self.table.read(*call.words)))

    def _scan(self, call: Call) -> Reply:
        after = int(call.query.get("after", "0"))
        found = self.table.scan(call.words[0], after)
        return self._late("table", _reply(found))

    def _commit(self, call: Call) -> Reply:
        transaction = msgspec.json.decode(call.body, type=rows.Transaction)
        return self._late("table", _reply(self.table.commit(transaction)))

    def _get(self, call: Call) -> Reply:
        found = self.objects.get(call.words[0])
        reply = _reply(found)
        if isinstance(found, bytes):
            reply = Reply(200, found)
        return self._late("objects", reply)

    def _put(self, call: Call) -> Reply:
        done = self.objects.put(call.words[0], call.body)
        return self._late("objects", _reply(done))

    def _vms(self, call: Call) -> Reply:
        found = self.vms.vms(call.query.get("datacentre", ""))
        return self._late("vms", _reply(found))

    def _add_vm(self, call: Call) -> Reply:
        self.vms.put(msgspec.json.decode(call.body, type=vmlist.VmRecord))
        return _json("ok")

    def _remove_vm(self, call: Call) -> Reply:
        self.vms.remove(call.words[0])
        return _json("ok")

    def _order_fault(self, call: Call) -> Reply:
        order = msgspec.json.decode(call.body, type=FaultOrder)
        if order.service not in self._faults_by_service:
            return _json(f"no such service: {order.service}", 400)
        switched = self._faults_by_service[order.service]
        switched.order(order.fault, order.calls)
        switched.delay = order.delay
        return _json("ok")

    def _reset(self, call: Call) -> Reply:
        self.__init__(self._lag)
        return _json("ok")

    def _counts(self, call: Call) -> Reply:
        return _json({"reads": self.table.reads, "writes": self.table.writes})

    def _late(self, service: str, reply: Reply) -> Reply:
        switched = self._faults_by_service[service]
        if switched.strikes(faults.Fault.SLOW):
            eventlet.sleep(switched.delay / clock.SECOND)
        return reply


def _json(body: Any, status: int = 200) -> Reply:
    return Reply(status, msgspec.json.encode(body))


def _reply(outcome: Any) -> Reply:
    if isinstance(outcome, rows.Conflict):
        body = {"reason": outcome.reason, "where": outcome.where}
        return _json(body | {"present": outcome.rows}, 409)
    if isinstance(outcome, missing.AnswerLost):
        return _LOST
    if isinstance(outcome, missing.NotFound):
        return _json(outcome.reason, 404)
    if missing.is_missing(outcome):
        return _json({"reason": outcome.reason, "done": False}, 503)
    return _json(outcome)


def serve(*, listen: str = "127.0.0.1:7300", vm_lag: int = 0) -> None:
    """Serve the stand-in for the platform until SIGTERM.

    :param listen: host:port.
    :param vm_lag: ms by which the list of VMs lags.
    """
    host, _, port = listen.rpartition(":")
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    wsgi.server(
        eventlet.listen((host, int(port))),
        Platform(vm_lag),
        log_output=False,
        debug=False,
    )


if __name__ == "__main__":
    defopt.run(serve)
