"""The processes of a demo or drill: platform, upstreams and daemons."""

import concurrent.futures
import json
import pathlib
from typing import Any
from typing import NamedTuple

import urllib3

from standins.builds import build as builds
from standins import process


class DaemonAddresses(NamedTuple):
    """Where a daemon listens."""

    callers: str
    operators: str
    peers: str


class Fleet:
    """Starts processes and ends every one of them.

    :param folder: takes settings, declarations and logs.
    :ivar build: the checkout that daemons run from their next start on.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.build = builds.HERE
        self.process_by_name: dict[str, process.Process] = {}
        self.addresses_by_daemon: dict[str, DaemonAddresses] = {}
        self.platform = ""

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    def start_platform(self) -> str:
        """Start the platform's stand-in and return its address."""
        self.platform = process.free_address()
        self._start(
            "platform",
            ["-m", "standins.platformserver", "--listen", self.platform],
            self.platform,
        )
        self.process_by_name["platform"].wait_up()
        return self.platform

    def start_engine(self, vm: str, *options: str) -> str:
        """Start one VM of the engine and return its address.

        :param vm: its name.
        :param options: of the stand-in's command line.
        """
        return self._start_standin("engine", vm, "--vm", vm, *options)

    def start_records(self, name: str, *options: str) -> str:
        """Start a record service and return its address.

        :param name: its name.
        :param options: of the stand-in's command line.
        """
        return self._start_standin("records", name, *options)

    def start_daemon(
        self, name: str, datacentre: str, **settings: Any
    ) -> DaemonAddresses:
        """Start a daemon that knows those started before it.

        :param name: its name.
        :param datacentre: its data centre.
        :param settings: more settings, or others.
        """
        addresses = self.addresses_by_daemon.get(name) or DaemonAddresses(
            process.free_address(),
            process.free_address(),
            process.free_address(),
        )
        seeds = [
            other.peers
            for known, other in self.addresses_by_daemon.items()
            if known != name
        ]
        written = {
            "name": name,
            "datacentre": datacentre,
            **addresses._asdict(),
            "platform": self.platform,
            "seeds": seeds,
            "stop_notice": 100,
            **settings,
        }
        path = self.folder / f"{name}.json5"
        path.write_text(json.dumps(written))
        self.addresses_by_daemon[name] = addresses
        self._start(
            name,
            [
                *self.build.arguments(name, "citronvalve.daemon.main"),
                *("--settings", str(path)),
            ],
            addresses.callers,
            self.build,
        )
        return addresses

    def restart(self, name: str) -> None:
        """Start a process again with the command line it had.

        :param name: its name; it must have ended.
        """
        old = self.process_by_name[name]
        self._start(name, old.arguments, old.address)

    def wait_up(self) -> None:
        """Wait until every process listens."""
        for started in self.process_by_name.values():
            started.wait_up()

    def end(self) -> dict[str, int]:
        """End every process and return the exit codes by name."""
        started = self.process_by_name
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            codes = pool.map(lambda one: one.end(), started.values())
            ended = dict(zip(started, codes, strict=True))
        self.process_by_name = {}
        return ended

    def _start_standin(self, kind: str, name: str, *options: str) -> str:
        address = process.free_address()
        self._start(
            name,
            ["-m", "standins", kind, "--listen", address, *options],
            address,
        )
        return address

    def _start(
        self,
        name: str,
        arguments: list[str],
        address: str,
        build: builds.Build = builds.HERE,
    ) -> None:
        self.process_by_name[name] = process.Process(
            name, arguments, address, self.folder, build=build
        )


def status(addresses: DaemonAddresses) -> dict[str, Any]:
    """Ask a daemon for its status.

    :param addresses: where it listens.
    """
    url = f"http://{addresses.operators}/status"
    answer = urllib3.request("GET", url, retries=False, timeout=5)
    return answer.json()
