"""Carries out an experiment: processes, load, events, report."""

import hashlib
import json
import pathlib
import signal
import sys
import tempfile
import threading
import time

import defopt

from standins import deployment as deployments
from standins.experiment import plan as plans
from standins.experiment import report
from standins.experiment import sample
from standins import fleet as fleets
from standins import process

#: One process can send some hundred requests a second on its own.
_LOADERS = 4
_AHEAD_SECONDS = 2.0

_SIGNAL_BY_ACT = {
    "kill": signal.SIGKILL,
    "stop": signal.SIGSTOP,
    "continue": signal.SIGCONT,
}
_STATE_BY_ACT = {"leave": "out", "return": "in"}


class Runner:
    """One experiment on one fleet.

    :param plan: what to do.
    :param path: the plan's file, which the loaders read too.
    :param fleet: the processes.
    """

    def __init__(
        self, plan: plans.Plan, path: str, fleet: fleets.Fleet
    ) -> None:
        self._plan = plan
        self._path = path
        self._fleet = fleet
        self._made = deployments.Deployment(fleet, tuple(plan.datacentres))
        self._place_by_daemon: dict[str, str] = {}

    def run(self) -> list[sample.Sample]:
        """Return what every request came to."""
        self._start()
        time.sleep(self._plan.settle / 1_000)
        begin_at = time.time() + _AHEAD_SECONDS
        loaders = [self._loader(part, begin_at) for part in range(_LOADERS)]
        actor = threading.Thread(target=self._act, args=(begin_at,))
        actor.start()
        for loader in loaders:
            loader.wait(self._plan.span / 1_000 + 120)
        actor.join()
        return [
            sample.Sample(*json.loads(line))
            for loader in loaders
            for line in loader.output().splitlines()
            if line.startswith("[")
        ]

    def _start(self) -> None:
        self._declare_teams()
        engines = self._plan.engines
        options = (
            f"--slots={engines.slots}",
            f"--cold-slots={engines.cold_slots}",
            f"--ramp={engines.ramp}",
            f"--token-time={engines.token_time}",
            f"--first-time={engines.first_time}",
        )
        for place in self._plan.datacentres:
            for number in range(engines.per_datacentre):
                name = f"{place}-engine-{number}"
                self._made.engine(name, place, *options)
                self._made.declaration["upstreams"][name] |= {
                    "slots": engines.slots,
                    "cold_slots": engines.cold_slots,
                    "ramp": max(1, engines.ramp),
                }
        self._made.daemons(self._plan.daemons)
        self._made.start()

    def _declare_teams(self) -> None:
        self._made.declaration["teams"] = {
            team.name: {
                "token_sha256": hashlib.sha256(
                    deployments.token(team.name).encode()
                ).hexdigest(),
                "weight": team.weight,
            }
            for team in self._plan.teams
        }

    def _loader(self, part: int, begin_at: float) -> process.Process:
        addresses = ",".join(
            known.callers for known in self._fleet.addresses_by_daemon.values()
        )
        return process.Process(
            f"loader-{part}",
            [
                *("-m", "standins", "experiment.loader", "--plan", self._path),
                *("--addresses", addresses, "--part", str(part)),
                *("--parts", str(_LOADERS), "--begin-at", str(begin_at)),
            ],
            "",
            self._fleet.folder,
        )

    def _act(self, begin_at: float) -> None:
        for event in sorted(self._plan.events, key=lambda e: e.at):
            due = begin_at + event.at / 1_000
            time.sleep(max(0.0, due - time.time()))
            self._do(event)

    def _do(self, event: plans.Event) -> None:
        if event.act in _STATE_BY_ACT:
            place = self._made.declaration["datacentres"][event.what]
            place["state"] = _STATE_BY_ACT[event.act]
            self._made.apply(f"{event.what}: {event.act}")
        elif event.act == "start":
            self._fleet.restart(event.what)
        else:
            number = _SIGNAL_BY_ACT[event.act]
            self._fleet.process_by_name[event.what].send(number)


def run(plan: str) -> None:
    """Carry out an experiment and print its report as JSON.

    :param plan: a file as in examples/experiments.
    """
    read = plans.load(plan)
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            samples = Runner(read, plan, fleet).run()
    json.dump(report.report(read, samples), sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    defopt.run(run)
