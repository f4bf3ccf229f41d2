"""A plain record service whose calls may not be repeated.

It counts its own runs, so that tests can hold the system to them.
"""

from collections.abc import Iterator
import os
import secrets

import eventlet

from standins import wsgi

_DRIP_EVERY = 0.05


class Records:
    """Issues numbered certificates, one a call, repeated or not.

    :param work_time: ms that one call takes.
    """

    def __init__(self, work_time: int) -> None:
        self._work_time = work_time
        self._start_id = secrets.token_hex(4)
        self._running = 0
        self._issued: list[dict] = []
        self._asked = 0
        self._fault = ""
        self._fault_calls = 0
        self._looked_up = 0
        self._said: tuple[tuple[str, str], ...] = ()

    def routes(self) -> wsgi.Routes:
        """Return the service's HTTP interface."""
        return wsgi.Routes(
            {
                "GET /load": self.load,
                "GET /asked": lambda _: wsgi.Reply(200, self._asked),
                "GET /runs": lambda _: wsgi.Reply(200, self._issued),
                "GET /looked-up": lambda _: wsgi.Reply(200, self._looked_up),
                "POST /faults": self.faults,
                "POST /says": self.says,
                "GET /*": self.look_up,
                "POST /*": self.issue,
            }
        )

    def load(self, _call: wsgi.Call) -> wsgi.Reply:
        """Report the load.

        :param _call: unused.
        """
        return wsgi.Reply(
            200,
            {
                "start_id": self._start_id,
                "running": self._running,
                "queued": 0,
                "bears": 64,
                "vms_missing": [],
            },
        )

    def faults(self, call: wsgi.Call) -> wsgi.Reply:
        """Misbehave on order.

        :param call: ``{"fault": name, "calls": how many}``; names are
            refuse, crash-before, crash-after, silent-before, silent-after,
            and for look-ups silent-get, drip and rest.
        """
        order = call.json()
        self._fault = order["fault"]
        self._fault_calls = order.get("calls", 1)
        return wsgi.Reply(200, {})

    def says(self, call: wsgi.Call) -> wsgi.Reply:
        """Add headers to the answers of look-ups.

        :param call: the headers by name.
        """
        self._said = tuple(call.json().items())
        return wsgi.Reply(200, {})

    def look_up(self, call: wsgi.Call) -> wsgi.Reply:
        """Return what was issued under a path.

        :param call: names the path.
        """
        self._looked_up += 1
        if self._strikes("rest"):
            return wsgi.Reply(503, {"ran": "no"}, headers=self._said)
        if self._strikes("silent-get"):
            eventlet.sleep(3_600)
        if self._strikes("drip"):
            return wsgi.Reply(200, _drip(), "text/plain")
        found = [run for run in self._issued if run["path"] == call.path]
        return wsgi.Reply(200, found, headers=self._said)

    def issue(self, call: wsgi.Call) -> wsgi.Reply:
        """Issue a certificate; each call issues another.

        :param call: the request.
        """
        self._asked += 1
        if self._strikes("refuse"):
            return wsgi.Reply(503, {"ran": "no"})
        self._running += 1
        try:
            return self._issue(call)
        finally:
            self._running -= 1

    def _issue(self, call: wsgi.Call) -> wsgi.Reply:
        self._misbehave("before")
        eventlet.sleep(self._work_time / 1_000)
        key = call.environ.get("HTTP_IDEMPOTENCY_KEY", "")
        number = len(self._issued) + 1
        run = {"number": number, "path": call.path, "key": key}
        self._issued.append(run)
        # The log must outlive a crash that comes after the commit.
        print(f"ISSUED {number} {key}", flush=True)
        self._misbehave("after")
        return wsgi.Reply(201, run)

    def _misbehave(self, when: str) -> None:
        if self._strikes(f"crash-{when}"):
            os._exit(3)
        if self._strikes(f"silent-{when}"):
            eventlet.sleep(3_600)

    def _strikes(self, fault: str) -> bool:
        if self._fault != fault or not self._fault_calls:
            return False
        self._fault_calls -= 1
        return True


def _drip() -> Iterator[bytes]:
    while True:
        yield b"."
        eventlet.sleep(_DRIP_EVERY)


def main() -> None:
    """Serve until SIGTERM."""
    parser = wsgi.parser(__doc__)
    parser.add_argument("--work-time", type=int, default=20, help="ms")
    given = parser.parse_args()
    wsgi.serve(given.listen, Records(given.work_time).routes())
