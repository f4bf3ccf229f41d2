"""One real daemon on the users' platform, and its way to the store."""

import http.client
import json
import pathlib
import signal

from standins.builds import build as builds
from standins import process
from standins.soak import relay as relays

_HOST = "127.0.0.1"

_LINKED = pathlib.Path(__file__).with_name("linked.py")


class Daemon:
    """A process that can be killed, paused, stopped and started again.

    :param name: the machine's name.
    :param zone: where it stands.
    :param store: host:port of the store.
    :param folder: takes settings and output.
    :param number: tells it from the other daemons.
    :ivar source: the address that its connections come from.
    :ivar build: the checkout that it runs from its next start on.
    :ivar front: host:port for callers.
    :ivar peers: host:port for other daemons.
    :ivar link: harms its connections to the store.
    :ivar descriptors: most that it may have open, 0 for any number.
    :ivar contracts: parts of the platform's protocol that are in force.
    :ivar up: whether it should be serving.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        number: int = 0,
    ) -> None:
        self.name, self.zone = name, zone
        self.source = f"127.0.1.{number + 1}"
        self.build = builds.HERE
        self.front = process.free_address()
        self.ready = process.free_address()
        self.peers = process.free_address()
        self._relay = process.free_address()
        self.link = relays.Relay(store)
        self._folder = folder
        self._settings = folder / f"{name}.json"
        self._links = folder / f"{name}-links.json"
        self._first = True
        self._process: process.Process | None = None
        self.up = False
        self.slack = 130
        self.descriptors = 0
        self.contracts: list[str] = []

    def start(self) -> None:
        """Start the process."""
        self.write()
        self._process = process.Process(
            self.name,
            [
                *("-W", "ignore", str(_LINKED)),
                *(self.source, str(self._links)),
                *self.build.arguments(self.name, "platform/serve.py"),
            ],
            self.ready,
            self._folder,
            {"CITRONVALVE_CONFIG": str(self._settings)},
            self.build,
        )
        self._first = False
        self.up = True

    def write(self) -> None:
        """Write the settings file as it is to be now."""
        ports = [
            int(address.rpartition(":")[2])
            for address in (self.peers, self._relay)
        ]
        memory = 200 if self.contracts else 0
        value = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Ip": _HOST,
            "Listen": {"Front": self.front, "Ready": self.ready},
            "InternalPorts": ports,
            "Bootstrap": self._first,
            "Bounds": {
                "RetryBudgetSlack": self.slack,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "GraceS": 8,
                "StallMs": 4_000,
            },
            "Platform": {"Address": self.link.address},
            "Limits": {"MaxFds": self.descriptors, "MemoryMb": memory},
            "Contracts": self.contracts,
        }
        self._settings.write_text(json.dumps(value))

    def lead(self, targets: list[str], instead: str) -> None:
        """Lead its new connections to some addresses to another one.

        :param targets: the addresses.
        :param instead: the other one.
        """
        written = self._links.with_suffix(".new")
        written.write_text(
            json.dumps({"targets": targets, "instead": instead})
        )
        written.replace(self._links)

    def is_ready(self) -> bool:
        """Tell whether it says that it can serve."""
        connection = http.client.HTTPConnection(self.ready, timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def send(self, number: signal.Signals) -> None:
        """Send it a signal.

        :param number: which.
        """
        self._process.send(number)

    def kill(self) -> None:
        """End it without a word, and wait until it is gone."""
        self.up = False
        self.send(signal.SIGKILL)
        self._process.wait()

    def stop(self) -> int:
        """End it in order; return its exit code."""
        self.up = False
        return self._process.end()

    def output(self) -> str:
        """Return all that it wrote."""
        return self._process.output()


def all_ready(made: list[Daemon]) -> bool:
    """Tell whether all daemons say that they are ready.

    :param made: the daemons.
    """
    return all(daemon.is_ready() for daemon in made)
