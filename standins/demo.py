"""``make demo``: the whole path, thin and real, in separate processes."""

from collections.abc import Callable
import pathlib
import sys
import tempfile
import time

from standins import answer
from standins import client
from standins import deployment as deployments
from standins import fleet as fleets

_PLACES = ("sapporo", "hakodate")
_DAEMONS = 4
_GROUP_SIZE = 2
_GROUP_SECONDS = 10.0
_LOOK_SECONDS = 0.1
_MODEL = deployments.MODEL
_PROMPT = "Describe the stitching of bag 42."


class Demo:
    """Plays caller and operator, and checks each step.

    :param made: the processes and their table.
    """

    def __init__(self, made: deployments.Deployment) -> None:
        self._made = made
        self._wrong = 0

    def run(self) -> int:
        """Run every step; return how many went wrong."""
        steps: tuple[Callable[[], None], ...] = (
            self._start,
            self._groups,
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
        self._made.records("records-1", _PLACES[0])
        for place in _PLACES:
            self._made.engine(f"{place}-single", place)
            self._made.group(f"{place}-group", place, _GROUP_SIZE)
            for number in range(_GROUP_SIZE):
                vm = f"{place}-vm-{number}"
                self._made.vm(vm, place, f"{place}-rack", "--load-time=100")
        self._made.daemons(_DAEMONS)
        self._made.start()
        count = len(self._made.fleet.process_by_name)
        self._check(True, f"{count} processes; the table is in force")

    def _groups(self) -> None:
        until = time.monotonic() + _GROUP_SECONDS
        while self._serving() < len(_PLACES) and time.monotonic() < until:
            time.sleep(_LOOK_SECONDS)
        self._check(
            self._serving() == len(_PLACES),
            f"a replica group of {_GROUP_SIZE} VMs serves in each data centre",
        )

    def _serving(self) -> int:
        told = self._made.command("groups")
        return sum(one["state"] == "serving" for one in told["groups"])

    def _stream(self) -> None:
        seen = self._made.caller(0).chat(_MODEL, _PROMPT, tokens=24)
        expected = answer.whole(_MODEL, _PROMPT, 24)
        print(f"    the caller reads: {seen.text[:60]}...")
        self._check(
            seen.whole and seen.text == expected,
            "a streamed answer arrives whole, word for word",
        )

    def _whole(self) -> None:
        seen = self._made.caller(1).chat(_MODEL, _PROMPT, stream=False)
        expected = answer.whole(_MODEL, _PROMPT, 16)
        self._check(
            seen.status == 200 and seen.text == expected,
            "the same in one piece, through the other data centre",
        )

    def _certificate(self) -> None:
        ask = ("POST", "records/certificates", b'{"bag": 42}', "bag-42")
        first = self._made.caller(0).call(*ask)
        second = self._made.caller(3).call(*ask)
        print(f"    first answer {first.text}, repeated {second.text}")
        self._check(
            first.status == 201 and first.text == second.text,
            "a certificate asked for twice, at two daemons, is issued once",
        )

    def _refusals(self) -> None:
        address = self._made.addresses(1).callers
        seen = client.Client(address, "not-a-token").chat(_MODEL, _PROMPT)
        self._check(
            seen.status == 401 and seen.problem["ran"] == "no",
            f"a stranger is refused: {seen.problem['detail']}",
        )
        seen = self._made.caller(1).chat("no-such-model", _PROMPT)
        self._check(
            seen.status == 404 and seen.problem["ran"] == "no",
            f"a wrong model is named: {seen.problem['detail']}",
        )

    def _edit(self) -> None:
        for place in _PLACES:
            self._made.declaration["datacentres"][place]["state"] = "out"
        version = self._made.apply("both data centres leave")
        in_force = self._made.in_force(version)
        seen = self._made.caller(2).chat(_MODEL, _PROMPT)
        self._check(
            in_force and seen.status == 503 and seen.problem["ran"] == "no",
            f"after the operator's edit, new work is refused: "
            f"{seen.problem.get('detail')} (come back in "
            f"{seen.problem.get('retry_after_ms')} ms)",
        )

    def _check(self, right: bool, what: str) -> None:
        self._wrong += not right
        print(f"{'right' if right else 'WRONG'}: {what}")


def main() -> int:
    """Run the demo; return 0 only if each step was right."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            made = deployments.Deployment(fleet, _PLACES)
            wrong = Demo(made).run()
            daemons = set(fleet.addresses_by_daemon)
            ended = fleet.end()
    stopped = all(ended[name] == 0 for name in daemons)
    print(f"{'right' if stopped else 'WRONG'}: every daemon ended with 0")
    print(f"{time.monotonic() - began:.1f} s, {wrong + (not stopped)} wrong")
    return 1 if wrong or not stopped else 0


if __name__ == "__main__":
    sys.exit(main())
