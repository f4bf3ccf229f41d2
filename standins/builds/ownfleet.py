"""Daemons of two builds at the own interface, over one store."""

import json
import pathlib
import signal
import time
from typing import Any

from eventlet.green import zmq
import msgspec
import urllib3

from citronvalve.peers import envelope
from standins import answer
from standins.builds import build as builds
from standins.builds import check as checks
from standins.builds import exchanged
from standins import deployment as deployments
from standins import fleet as fleets

_PLACES = ("sapporo", "hakodate")
_DAEMONS = 4
_GROUP_SIZE = 2
_WAIT_SECONDS = 40.0
_LOOK_SECONDS = 0.2
_MODEL = deployments.MODEL
_PROMPT = "Describe the stitching of bag 42."

#: Longer than the six seconds after which peers declare a member dead.
_PAUSE_SECONDS = 9.0
_PAUSES = 2

#: Several, so that both daemons lend: which one does goes by the name.
_COLD = ("single-a", "single-b", "single-c", "single-d")

#: So many rows that the table is sent in several pages, on request.
_SERVICES = 1_500

_NOTICE = 3

_KIND_BY_NUMBER = {
    "0": "gossip",
    "1": "table request",
    "2": "table page",
    "4": "loan request",
    "5": "loans",
}


class OwnFleet:
    """Replaces the daemons of one build by those of another, and back.

    :param folder: takes settings and logs.
    :param other: the other build.
    :param check: takes the verdicts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        other: builds.Build,
        check: checks.Check,
    ) -> None:
        self._folder = folder
        self._own, self._other = builds.HERE, other
        self._check = check
        self._fleet = fleets.Fleet(folder)
        self._made = deployments.Deployment(self._fleet, _PLACES)
        self._first: dict[str, str] = {}
        self._groups: list[dict[str, Any]] = []

    def run(self) -> None:
        """Run all phases; every process ends with them."""
        with self._fleet:
            self._start_other()
            self._replace((2, 3), self._own)
            self._look("two daemons of each build")
            self._edit(self._own, "an edit by the own build")
            self._edit(self._other, "an edit by the other build")
            self._replace((0, 1), self._own)
            self._look("all daemons of the own build, data of the other")
            self._certificate("bag-own")
            self._replace((0, 1, 2, 3), self._other)
            self._look("all daemons of the other build, data of the own")
            daemons = set(self._fleet.addresses_by_daemon)
            logs = [(self._folder / f"{d}.log").read_text() for d in daemons]
            ended = self._fleet.end()
        codes = {name: ended[name] for name in daemons}
        self._check.that(
            not any(codes.values()), "every daemon ended with 0", codes
        )
        self._check.that(
            not any("Traceback" in log for log in logs),
            "no daemon logged a traceback",
        )

    def _start_other(self) -> None:
        made = self._made
        self._fleet.build = self._other
        made.records("records-1", _PLACES[0])
        made.declaration["limits"] = [
            {
                "team": deployments.TEAM,
                "model": _MODEL,
                "datacentre": place,
                "slots": 64,
            }
            for place in _PLACES
        ]
        for place in _PLACES:
            made.engine(f"{place}-single", place)
            made.group(f"{place}-group", place, _GROUP_SIZE)
            for number in range(_GROUP_SIZE):
                name = f"{place}-vm-{number}"
                made.vm(name, place, f"{place}-rack", "--load-time=100")
        made.daemons(_DAEMONS)
        made.start()
        self._wait_for_groups()
        self._groups = self._shown()
        self._certificate("bag-other")
        self._look("all daemons of the other build")

    def _certificate(self, key: str) -> None:
        seen = self._issue(0, key)
        self._first[key] = seen.text
        self._check.that(
            seen.status == 201, f"certificate {key} is issued", seen
        )

    def _issue(self, daemon: int, key: str):
        path, body = "records/certificates", b'{"bag": 42}'
        return self._made.caller(daemon).call("POST", path, body, key)

    def _replace(self, numbers: tuple[int, ...], build: builds.Build) -> None:
        self._fleet.build = build
        for number in numbers:
            name = f"daemon-{number}"
            code = self._fleet.process_by_name[name].end()
            self._check.that(code == 0, f"{name} ended with 0", code)
            self._fleet.start_daemon(name, _PLACES[number % len(_PLACES)])
            self._fleet.process_by_name[name].wait_up()
        edits = self._made.command("table", "history")["edits"]
        version = max(edit["version"] for edit in edits)
        self._check.that(
            self._made.in_force(version),
            f"version {version} is in force at every daemon",
        )
        self._wait_for_groups()

    def _look(self, phase: str) -> None:
        print(f"-- {phase}", flush=True)
        expected = answer.whole(_MODEL, _PROMPT, 24)
        for number in range(_DAEMONS):
            seen = self._made.caller(number).chat(_MODEL, _PROMPT, tokens=24)
            self._check.that(
                seen.whole and seen.text == expected,
                f"daemon-{number}: a streamed answer is whole",
                seen,
            )
            for key, first in self._first.items():
                seen = self._issue(number, key)
                self._check.that(
                    seen.text == first,
                    f"daemon-{number}: certificate {key} is replayed",
                    seen,
                )
        self._check.that(
            _stable(self._shown()) == _stable(self._groups),
            "the groups are those that were formed first",
            self._shown(),
        )
        told = [
            fleets.status(addresses)
            for addresses in self._fleet.addresses_by_daemon.values()
        ]
        dropped = [one["peers"]["dropped_by_reason"] for one in told]
        unread = {"too large", "no envelope", "other protocol version"}
        self._check.that(
            not any(
                reason in unread or reason.startswith("bad ")
                for one in dropped
                for reason in one
            ),
            "every message of a peer could be read",
            dropped,
        )
        members = {one["members"] for one in told}
        self._check.that(
            members == {_DAEMONS}, "each daemon knows four members", members
        )

    def _edit(self, build: builds.Build, why: str) -> None:
        self._fleet.build = build
        weight = 2 + len(why)
        team = self._made.declaration["teams"][deployments.TEAM]
        team["weight"] = weight
        version = self._made.apply(why)
        self._check.that(bool(version), why)
        self._check.that(
            self._made.in_force(version), f"version {version} is in force"
        )
        for reader in (self._own, self._other):
            self._fleet.build = reader
            entry = self._made.command("audit", str(version))
            self._check.that(
                entry["exit_code"] == 0 and why in json.dumps(entry),
                "its audit entry is read by a build",
                entry,
            )

    def _shown(self) -> list[dict[str, Any]]:
        return self._made.command("groups")["groups"]

    def _wait_for_groups(self) -> None:
        until = time.monotonic() + _WAIT_SECONDS
        while time.monotonic() < until:
            shown = self._shown()
            if [one["state"] for one in shown] == ["serving"] * len(_PLACES):
                return
            time.sleep(_LOOK_SECONDS)
        self._check.that(False, "the groups serve", self._shown())


def _stable(groups: list[dict[str, Any]]) -> list[tuple]:
    return sorted((g["group"], g["fence"], tuple(g["vms"])) for g in groups)


class Pair:
    """One daemon of each build, and each kind of message between them.

    :param folder: takes settings and logs.
    :param other: the other build.
    :param check: takes the verdicts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        other: builds.Build,
        check: checks.Check,
    ) -> None:
        self._counts = folder / "counts"
        self._counts.mkdir()
        self._build_by_name = {
            "own": builds.Build(counts=self._counts),
            "other": builds.Build(other.root, self._counts),
        }
        self._check = check
        self._fleet = fleets.Fleet(folder)
        self._made = deployments.Deployment(self._fleet, _PLACES[:1])

    def run(self) -> None:
        """Run the pair; both processes end with it."""
        with self._fleet:
            place = _PLACES[0]
            cold = ("--ramp=30000", "--cold-slots=1")
            for name in _COLD:
                self._made.engine(name, place, *cold)
                self._made.declaration["upstreams"][name]["ramp"] = 30_000
            self._made.declaration["limits"] = [
                {
                    "team": deployments.TEAM,
                    "model": _MODEL,
                    "datacentre": place,
                    "slots": 8,
                }
            ]
            for number in range(_SERVICES):
                row = {"repeatable": ["GET"]}
                self._made.declaration["services"][f"s-{number}"] = row
            for name in self._build_by_name:
                self._start(name)
            self._made.start()
            for _ in range(_PAUSES):
                for name in self._build_by_name:
                    self._call()
                    self._pause(name)
                    self._call()
                    self._restart(name)
            self._notify()
            ended = self._fleet.end()
        codes = [ended[name] for name in self._build_by_name]
        self._check.that(codes == [0, 0], "both ended with 0", codes)
        self._tell()

    def _start(self, name: str) -> None:
        self._fleet.build = self._build_by_name[name]
        self._fleet.start_daemon(name, _PLACES[0])
        self._fleet.build = builds.HERE

    def _restart(self, name: str) -> None:
        # Without the platform it takes the table from the other daemon.
        self._fleet.process_by_name[name].end()
        self._outage(-1)
        self._start(name)
        self._fleet.process_by_name[name].wait_up()
        self._check.that(
            self._made.in_force(1), f"{name} has the table of its peer"
        )
        self._outage(0)

    def _outage(self, calls: int) -> None:
        url = f"http://{self._fleet.platform}/faults"
        body = {"service": "table", "fault": "down", "calls": calls}
        urllib3.request("POST", url, json=body)

    def _notify(self) -> None:
        """Send each daemon a notice, which live daemons send after a cut."""
        sender = envelope.Sender("ghost", _PLACES[0], 1, "tcp://127.0.0.1:9")
        data = msgspec.msgpack.encode(
            [envelope.PROTOCOL, _NOTICE, list(sender), [0]]
        )
        context = zmq.Context()
        for name, addresses in self._fleet.addresses_by_daemon.items():
            before = fleets.status(addresses)["peers"]["dropped_by_reason"]
            socket = context.socket(zmq.DEALER)
            socket.connect(f"tcp://{addresses.peers}")
            socket.send(data)
            time.sleep(1.0)
            socket.close(linger=0)
            after = fleets.status(addresses)["peers"]["dropped_by_reason"]
            self._check.that(
                before == after, f"{name} reads a notice of death", after
            )

    def _pause(self, name: str) -> None:
        process = self._fleet.process_by_name[name]
        process.send(signal.SIGSTOP)
        time.sleep(_PAUSE_SECONDS)
        process.send(signal.SIGCONT)
        time.sleep(1.0)

    def _call(self) -> None:
        for _ in range(8):
            for number in range(len(self._build_by_name)):
                self._made.caller(number).chat(_MODEL, _PROMPT, tokens=8)

    def _tell(self) -> None:
        is_other = {"own": False, "other": True}
        ways = exchanged.count(self._counts, is_other)
        for way, kinds in ways.items():
            named = {
                name: kinds.get(number, 0)
                for number, name in _KIND_BY_NUMBER.items()
            }
            missing = {name for name, count in named.items() if not count}
            self._check.that(
                not missing,
                f"{way}: each kind of message was received: {named}",
                f"not seen: {sorted(missing)}",
            )
