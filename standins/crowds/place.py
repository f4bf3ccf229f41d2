"""One daemon of either interface, with all that it needs beside it."""

import abc
import http.client
import json
import pathlib
import signal
import socket
import time

import eventlet

from standins.crowds import framing as framings
from standins.crowds import plainservice
from standins import deployment as deployments
from standins import fleet as fleets
from standins import process
from standins import rowstore

_HOST = "127.0.0.1"
_KEY = "key-1"
_LOOK = 0.1
_ANSWER_TIMEOUT = 25

#: ms that an ordinary client gives a request.
_DEADLINE = 20_000


class Place(abc.ABC):
    """A daemon and its surroundings.

    :ivar address_by_port: host:port by the port's name.
    :ivar path: of requests.
    :ivar lines: further lines of the heads of requests.
    """

    path = ""
    lines: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.address_by_port: dict[str, str] = {}

    @property
    @abc.abstractmethod
    def daemon(self) -> process.Process:
        """Return the daemon's process."""

    @abc.abstractmethod
    def close(self) -> None:
        """End all processes."""

    def ask(self, size: int = 100, patience: float = 30.0) -> list[str]:
        """Send an ordinary request until it is answered with success.

        A refusal or a closed connection is followed by another try, as
        ordinary clients do.

        :param size: bytes of the body.
        :param patience: seconds after which it is given up.
        :returns: how the tries ended, the last one first.
        """
        ended: list[str] = []
        until = time.monotonic() + patience
        while time.monotonic() < until:
            ended.insert(0, self._try(f"ordinary-{time.monotonic()}", size))
            if ended[0].startswith("2"):
                break
            eventlet.sleep(_LOOK)
        return ended

    def send_framed(self, size: int, framing: framings.Framing) -> str:
        """Send one request; return its status, or the error's name.

        :param size: bytes of the body.
        :param framing: of the body.
        """
        address = self.address_by_port["callers"]
        host, _, port = address.rpartition(":")
        lines = [
            f"POST {self.path} HTTP/1.1",
            "Host: h.example",
            "X-Attempt-Id: framed-1",
            *self.lines,
            framing.line.format(size=size),
        ]
        with socket.create_connection((host, int(port))) as sock:
            sock.settimeout(_ANSWER_TIMEOUT)
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            for piece in framing.pieces(size):
                sock.sendall(piece)
            return sock.recv(64)[9:12].decode()

    def _try(self, number: str, size: int) -> str:
        host, _, port = self.address_by_port["callers"].rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=_ANSWER_TIMEOUT
        )
        head = dict(line.split(": ", 1) for line in self.lines)
        try:
            connection.request(
                "POST",
                self.path,
                bytes(size),
                head | {"Host": "h.example", "X-Attempt-Id": number},
            )
            response = connection.getresponse()
            response.read()
            return str(response.status)
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__
        finally:
            connection.close()


class UsersPlace(Place):
    """The users' interface: a store, a runner and a daemon.

    :param folder: takes settings and output.
    :param memory: MB that the daemon may take.
    :param descriptors: that it may have open.
    :param body: bytes of the largest body.
    :param contracts: parts of the platform's protocol in force.
    """

    path = "/a/b"
    lines = (f"X-Api-Key: {_KEY}", f"X-Deadline-Ms: {_DEADLINE}")

    def __init__(
        self,
        folder: pathlib.Path,
        memory: int,
        descriptors: int,
        body: int,
        contracts: tuple[str, ...] = (),
    ) -> None:
        super().__init__()
        self._store = rowstore.RowStore()
        self._runner = plainservice.PlainService("i-1")
        self._declare(body)
        names = ("callers", "operators", "peers", "relay")
        self.address_by_port = {name: process.free_address() for name in names}
        settings = folder / "local.json"
        limits = {"MaxFds": descriptors, "MemoryMb": memory}
        settings.write_text(json.dumps(self._settings(limits, contracts)))
        self._daemon = process.Process(
            "daemon",
            ["-W", "ignore", "platform/serve.py"],
            self.address_by_port["operators"],
            folder,
            {"CITRONVALVE_CONFIG": str(settings)},
        )

    @property
    def daemon(self) -> process.Process:
        return self._daemon

    def close(self) -> None:
        self._daemon.send(signal.SIGKILL)
        self._daemon.wait()
        self._runner.close()
        self._store.close()

    def _settings(self, limits, contracts):
        internal = [
            int(self.address_by_port[name].rpartition(":")[2])
            for name in ("peers", "relay")
        ]
        return {
            "NodeName": "front-a-1",
            "Zone": "zone-a",
            "Ip": _HOST,
            "Listen": {
                "Front": self.address_by_port["callers"],
                "Ready": self.address_by_port["operators"],
            },
            "InternalPorts": internal,
            "Bootstrap": True,
            "Bounds": {"RetryBudgetSlack": 130, "GraceS": 8},
            "Platform": {"Address": self._store.address},
            "Limits": limits,
            "Contracts": list(contracts),
        }

    def _declare(self, body: int) -> None:
        route = {
            "Name": "r",
            "Host": "h.example",
            "Prefix": "/a/",
            "Kind": "safe",
            "TimeoutMs": _DEADLINE,
            "TargetLatencyMs": 900,
            "Service": "s",
        }
        declared = {
            "Version": 3,
            "Routes": [route],
            "Services": [{"Name": "s"}],
            "Tenants": [{"Name": "team-1", "ApiKeys": [_KEY]}],
            "Limits": {"MaxBodyBytes": body},
        }
        self._store.put("op", "config", declared)
        entry = {
            "Service": "s",
            "Address": self._runner.address,
            "Zone": "zone-a",
            "State": "ready",
            "Slots": 2,
        }
        self._store.put("servers", "i-1", entry)


class OwnPlace(Place):
    """The project's own interface: a platform, a record service, a daemon.

    :param folder: takes settings and output.
    """

    path = f"/v1/services/{deployments.SERVICE}/certificates"
    lines = (
        f"Authorization: Bearer {deployments.TOKEN}",
        f"X-Deadline-Ms: {_DEADLINE}",
    )

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__()
        self._fleet = fleets.Fleet(folder)
        deployment = deployments.Deployment(self._fleet, ("sapporo",))
        deployment.records("records-0", "sapporo", "--work-time=20")
        deployment.daemons(1)
        deployment.start()
        self.address_by_port = deployment.addresses()._asdict()

    @property
    def daemon(self) -> process.Process:
        return self._fleet.process_by_name["daemon-0"]

    def close(self) -> None:
        self.daemon.send(signal.SIGKILL)
        self._fleet.end()
