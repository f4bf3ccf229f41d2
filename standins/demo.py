"""``make demo``: the whole path, thin and real, in separate processes."""

from collections.abc import Callable
import hashlib
import json
import pathlib
import subprocess  # noqa: S404 - the demo plays the operator
import sys
import tempfile
import time
from typing import Any

from standins import answer
from standins import client
from standins import fleet as fleets

_TOKEN = "kaban-demo-token"
_MODEL = "kantei"
_PLACES = ("sapporo", "hakodate")
_IN_FORCE_SECONDS = 10.0
_LOOK_SECONDS = 0.05
_PROMPT = "Describe the stitching of bag 42."


class Demo:
    """Starts everything, plays caller and operator, and checks each step.

    :param fleet: the processes.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._wrong = 0
        self._declaration: dict[str, Any] = {}

    def run(self) -> int:
        """Run every step; return how many went wrong."""
        self._start()
        steps: tuple[Callable[[], None], ...] = (
            self._declare,
            self._stream,
            self._whole,
            self._certificate,
            self._refusals,
            self._edit,
        )
        for step in steps:
            step()
        return self._wrong

    def _start(self) -> None:
        self._fleet.start_platform()
        upstreams = {"records-1": self._records()}
        for place in _PLACES:
            upstreams[f"{place}-single"] = self._single(place)
            upstreams[f"{place}-group"] = self._group(place)
        for place in _PLACES:
            for number in (1, 2):
                self._fleet.start_daemon(f"{place}-{number}", place)
        self._fleet.wait_up()
        digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
        self._declaration = {
            "teams": {"kaban": {"token_sha256": digest, "weight": 2}},
            "models": {_MODEL: {"weights": "kantei/1", "max_tokens": 512}},
            "datacentres": {place: {"region": "north"} for place in _PLACES},
            "services": {"records": {"repeatable": ["GET", "HEAD"]}},
            "upstreams": upstreams,
        }
        print(f"started {len(self._fleet.process_by_name)} processes")

    def _records(self) -> dict[str, Any]:
        address = self._fleet.start_records("records-1")
        return _upstream(_PLACES[0], address, "plain", "records")

    def _single(self, place: str) -> dict[str, Any]:
        address = self._fleet.start_engine(f"{place}-vm-1", "--model", _MODEL)
        return _upstream(place, address, "engine", _MODEL)

    def _group(self, place: str) -> dict[str, Any]:
        address = self._fleet.start_engine(f"{place}-vm-2", "--model", _MODEL)
        self._fleet.start_engine(f"{place}-vm-3", "--model", _MODEL)
        return _upstream(place, address, "engine", _MODEL)

    def _declare(self) -> None:
        version = self._apply("the first table")
        self._check(
            version == 1 and self._in_force(version),
            f"the operator's table is in force on all daemons, {version=}",
        )

    def _stream(self) -> None:
        seen = self._caller(0).chat(_MODEL, _PROMPT, tokens=24)
        expected = answer.whole(_MODEL, _PROMPT, 24)
        print(f"    the caller reads: {seen.text[:60]}...")
        self._check(
            seen.whole and seen.text == expected,
            "a streamed answer arrives whole, word for word",
        )

    def _whole(self) -> None:
        seen = self._caller(2).chat(_MODEL, _PROMPT, stream=False)
        expected = answer.whole(_MODEL, _PROMPT, 16)
        self._check(
            seen.status == 200 and seen.text == expected,
            "the same in one piece, through the other data centre",
        )

    def _certificate(self) -> None:
        ask = ("POST", "records/certificates", b'{"bag": 42}', "bag-42")
        first = self._caller(0).call(*ask)
        second = self._caller(3).call(*ask)
        print(f"    first answer {first.text}, repeated {second.text}")
        self._check(
            first.status == 201 and first.text == second.text,
            "a certificate asked for twice, at two daemons, is issued once",
        )

    def _refusals(self) -> None:
        stranger = client.Client(self._callers(1), "not-a-token")
        seen = stranger.chat(_MODEL, _PROMPT)
        self._check(
            seen.status == 401 and seen.problem["ran"] == "no",
            f"a stranger is refused: {seen.problem['detail']}",
        )
        seen = self._caller(1).chat("no-such-model", _PROMPT)
        self._check(
            seen.status == 404 and seen.problem["ran"] == "no",
            f"a wrong model is named: {seen.problem['detail']}",
        )

    def _edit(self) -> None:
        for place in _PLACES:
            self._declaration["datacentres"][place]["state"] = "out"
        version = self._apply("both data centres leave")
        in_force = self._in_force(version)
        seen = self._caller(2).chat(_MODEL, _PROMPT)
        self._check(
            in_force and seen.status == 503 and seen.problem["ran"] == "no",
            f"after the operator's edit, new work is refused: "
            f"{seen.problem.get('detail')} (retry in "
            f"{seen.problem.get('retry_after_ms')} ms)",
        )

    def _apply(self, why: str) -> int:
        path = self._fleet.folder / "table.json5"
        path.write_text(json.dumps(self._declaration))
        done = subprocess.run(
            [
                *(sys.executable, "-m", "citronvalve.cli.main", "apply"),
                *(str(path), "--who", "demo", "--why", why, "--json"),
                *("--platform", self._fleet.platform),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            print(done.stdout, done.stderr)
            return 0
        return json.loads(done.stdout)["version"]

    def _in_force(self, version: int) -> bool:
        until = time.monotonic() + _IN_FORCE_SECONDS
        while time.monotonic() < until:
            told = [
                fleets.status(addresses)
                for addresses in self._fleet.addresses_by_daemon.values()
            ]
            if all(self._knows(one, version) for one in told):
                return True
            time.sleep(_LOOK_SECONDS)
        return False

    def _knows(self, told: dict[str, Any], version: int) -> bool:
        seen = {upstream["name"] for upstream in told["upstreams"]}
        wanted = set(self._declaration["upstreams"])
        return told["table_version"] >= version and seen >= wanted

    def _callers(self, daemon: int) -> str:
        return list(self._fleet.addresses_by_daemon.values())[daemon].callers

    def _caller(self, daemon: int) -> client.Client:
        return client.Client(self._callers(daemon), _TOKEN)

    def _check(self, right: bool, what: str) -> None:
        self._wrong += not right
        print(f"{'right' if right else 'WRONG'}: {what}")


def _upstream(
    place: str, address: str, kind: str, serves: str
) -> dict[str, Any]:
    return {
        "datacentre": place,
        "address": address,
        "kind": kind,
        "serves": [serves],
    }


def main() -> int:
    """Run the demo; return 0 only if each step was right."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            wrong = Demo(fleet).run()
            ended = fleet.end()
    daemons = {n: c for n, c in ended.items() if n.startswith(_PLACES)}
    stopped = all(
        code == 0 for name, code in daemons.items() if "vm" not in name
    )
    print(f"{'right' if stopped else 'WRONG'}: every daemon ended with 0")
    print(f"{time.monotonic() - began:.1f} s, {wrong + (not stopped)} wrong")
    return 1 if wrong or not stopped else 0


if __name__ == "__main__":
    sys.exit(main())
