"""A fleet with a declared table: what a demo or drill starts from."""

import hashlib
import json
import subprocess  # noqa: S404 - a demo or drill plays the operator
import time
from typing import Any

import urllib3

from standins import client
from standins import fleet as fleets

TEAM = "kaban"
MODEL = "kantei"
SERVICE = "records"

_IN_FORCE_SECONDS = 30.0
_LOOK_SECONDS = 0.02


def token(team: str) -> str:
    """Return the bearer token of a team of a demo or drill.

    :param team: its name.
    """
    return f"{team}-token"


TOKEN = token(TEAM)


class Deployment:
    """Upstreams of one model and one record service, and their table.

    :param fleet: starts the processes.
    :param datacentres: names of the data centres.
    :ivar declaration: the table, as an operator writes it.
    """

    def __init__(
        self, fleet: fleets.Fleet, datacentres: tuple[str, ...]
    ) -> None:
        self.fleet = fleet
        self.datacentres = datacentres
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        self.declaration: dict[str, Any] = {
            "teams": {TEAM: {"token_sha256": digest, "weight": 2}},
            "models": {MODEL: {"weights": "kantei/1", "max_tokens": 2048}},
            "datacentres": {name: {"region": "north"} for name in datacentres},
            "services": {SERVICE: {"repeatable": ["GET", "HEAD"]}},
            "upstreams": {},
            "groups": {},
        }
        if not fleet.platform:
            fleet.start_platform()

    def engine(self, name: str, datacentre: str, *options: str) -> str:
        """Start an engine on one VM, declare it, return its address.

        :param name: of the upstream and of its VM.
        :param datacentre: where it stands.
        :param options: of the stand-in's command line.
        """
        address = self.fleet.start_engine(name, "--model", MODEL, *options)
        self._declare(name, datacentre, address, "engine", MODEL)
        return address

    def vm(
        self, name: str, datacentre: str, domain: str, *options: str
    ) -> str:
        """Start an empty VM that the platform lists; return its address.

        :param name: its name.
        :param datacentre: where it stands.
        :param domain: its fabric domain.
        :param options: of the stand-in's command line.
        """
        address = self.fleet.start_engine(name, *options)
        urllib3.request(
            "POST",
            f"http://{self.fleet.platform}/vms",
            json=[name, datacentre, domain, address, 8, "live"],
        )
        return address

    def group(self, name: str, datacentre: str, size: int) -> None:
        """Declare one replica group.

        :param name: its row's key.
        :param datacentre: where its VMs are.
        :param size: VMs of the group.
        """
        self.declaration["groups"][name] = {
            "datacentre": datacentre,
            "model": MODEL,
            "size": size,
            "replicas": 1,
        }

    def records(self, name: str, datacentre: str, *options: str) -> str:
        """Start a record service, declare it, return its address.

        :param name: of the upstream.
        :param datacentre: where it stands.
        :param options: of the stand-in's command line.
        """
        address = self.fleet.start_records(name, *options)
        self._declare(name, datacentre, address, "plain", SERVICE)
        return address

    def daemons(self, count: int, **settings: Any) -> None:
        """Start daemons, spread over the data centres in turn.

        :param count: how many.
        :param settings: more settings, or others.
        """
        for number in range(count):
            place = self.datacentres[number % len(self.datacentres)]
            self.fleet.start_daemon(f"daemon-{number}", place, **settings)

    def apply(self, why: str) -> int:
        """Apply the declaration with the operators' tool.

        :param why: the reason in the audit trail.
        :return: the version, or 0 when the tool refused it.
        """
        path = self.fleet.folder / "table.json5"
        path.write_text(json.dumps(self.declaration))
        told = self.command("apply", str(path), "--who=operator", "--why", why)
        return told.get("version", 0) if not told["exit_code"] else 0

    def command(self, *words: str) -> dict[str, Any]:
        """Run the operators' tool and return what it told.

        :param words: its command line, less where the platform is.
        """
        done = subprocess.run(
            [
                *(self.fleet.build.interpreter, "-m"),
                *("citronvalve.cli.main", *words),
                *("--json", "--platform", self.fleet.platform),
            ],
            cwd=self.fleet.build.root,
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            print(done.stdout, done.stderr)
        return json.loads(done.stdout)

    def in_force(self, version: int) -> bool:
        """Wait until all daemons know a version and every upstream's load.

        :param version: as :meth:`apply` gave it.
        """
        until = time.monotonic() + _IN_FORCE_SECONDS
        while time.monotonic() < until:
            told = [
                fleets.status(addresses)
                for addresses in self.fleet.addresses_by_daemon.values()
            ]
            if all(self._knows(one, version) for one in told):
                return True
            time.sleep(_LOOK_SECONDS)
        return False

    def start(self) -> None:
        """Wait for all processes, apply the table, wait until in force.

        :raises RuntimeError: when it does not come into force.
        """
        self.fleet.wait_up()
        version = self.apply("the first table")
        if not version or not self.in_force(version):
            raise RuntimeError("the first table is not in force")

    def caller(self, daemon: int = 0, token: str = TOKEN) -> client.Client:
        """Return a caller at a daemon.

        :param daemon: its number, in the order of their start.
        :param token: the caller's bearer token.
        """
        return client.Client(self.addresses(daemon).callers, token)

    def addresses(self, daemon: int = 0) -> fleets.DaemonAddresses:
        """Return where a daemon listens.

        :param daemon: its number, in the order of their start.
        """
        return list(self.fleet.addresses_by_daemon.values())[daemon]

    def _knows(self, told: dict[str, Any], version: int) -> bool:
        seen = {upstream["name"] for upstream in told["upstreams"]}
        wanted = set(self.declaration["upstreams"])
        return told["table_version"] >= version and seen >= wanted

    def _declare(
        self, name: str, datacentre: str, address: str, kind: str, serves: str
    ) -> None:
        self.declaration["upstreams"][name] = {
            "datacentre": datacentre,
            "address": address,
            "kind": kind,
            "serves": [serves],
        }
