"""A soak of requests that must run once, before runners that are processes.

The runners turn requests away, answer early and twice, start again at their
addresses, are stopped by signals and take each other's addresses.
"""

import json
import pathlib
import random
import re
import signal
import time

import eventlet

from standins import process
from standins import rowstore
from standins.soak import caller as callers
from standins.soak import daemon as daemons_
from standins.soak import desk as desks
from standins.soak import ledger as ledgers
from standins.soak import operator as operators
from standins.soak import pulse as pulses

#: Seconds until daemons serve, and between two versions and two harms.
_UP, _VERSIONS, _HARMS = 20.0, 2.0, (1.0, 3.0)

#: Seconds that callers have to take their last answers.
_LAST = 7.0

#: Seconds that a daemon is stopped, killed or without links.
_HARM = 0.3, 2.5

#: An id of a request in what is said of a broken promise.
_ID = re.compile("[0-9a-f]{32}")

_SENT_AGAIN = '"event":"sent again"'


class OnceSoak:
    """One run.

    :param seed: draws requests and harms.
    :param seconds: how long they come.
    :param daemons: processes of the program.
    :param calling: callers at a time.
    :param folder: takes settings and output.
    :ivar book: the accounts.
    :ivar desk: the runners.
    :ivar daemons: the daemons.
    :ivar pulse: tells when the soak's own process stood still.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        calling: int,
        folder: pathlib.Path,
    ) -> None:
        self._seconds = seconds
        self._chance = random.Random(f"{seed}/once")
        self.book = ledgers.Ledger()
        self._store = rowstore.RowStore()
        self._operator = operators.Operator(
            self._store, self.book, self._chance, attempts=3
        )
        self.desk = desks.Desk(
            self._store, folder, random.Random(f"{seed}/desk")
        )
        zones = ("zone-a", "zone-b")
        self.daemons = [
            daemons_.Daemon(
                f"front-{n}",
                zones[n % len(zones)],
                self._store.address,
                folder,
                n,
            )
            for n in range(daemons)
        ]
        self._callers = [
            callers.OnceCaller(
                self.daemons, self.book, random.Random(f"{seed}/{n}"), 0
            )
            for n in range(calling)
        ]
        self._refusing = process.free_address()
        self.pulse = pulses.Pulse(self.book)

    @property
    def sent_again(self) -> int:
        """Return how many requests that must run once were sent on."""
        return sum(one.output().count(_SENT_AGAIN) for one in self.daemons)

    def story(self, broken: ledgers.Broken) -> list[str]:
        """Return what daemons and runners said of a request.

        :param broken: a promise whose detail names the request.
        """
        found = _ID.search(broken.detail)
        outputs = [one.output() for one in self.daemons] + self.desk.outputs()
        lines = [
            line
            for output in outputs
            for line in output.splitlines()
            if found and found[0] in line
        ]
        return [f"{broken.promise}: {broken.detail}", *lines]

    def run(self) -> list[ledgers.Broken]:
        """Play it; return the promises that were broken."""
        self.desk.start()
        for daemon in self.daemons:
            daemon.start()
        try:
            self._play()
        finally:
            for daemon in self.daemons:
                daemon.stop()
            self.desk.end()
        self._take_runs()
        return self.book.broken

    def _play(self) -> None:
        until = time.monotonic() + _UP
        while not daemons_.all_ready(self.daemons):
            if time.monotonic() > until:
                raise RuntimeError("the daemons did not get ready")
            eventlet.sleep(0.1)
        # Cuts by these faults are not judged, only what runs and how often.
        self.book.trouble("runners and daemons", True)
        calling = [eventlet.spawn(each.run) for each in self._callers]
        harming = [
            eventlet.spawn(self.desk.trouble, 0.7),
            eventlet.spawn(self._versions),
            eventlet.spawn(self._harm_daemons),
            eventlet.spawn(self.pulse.run),
        ]
        eventlet.sleep(self._seconds)
        for task in (*harming, *calling):
            task.kill()
        eventlet.sleep(_LAST)

    def _versions(self) -> None:
        while True:
            eventlet.sleep(_VERSIONS)
            self._operator.write()

    def _harm_daemons(self) -> None:
        """Harm one daemon after the other, but never the first."""
        ways = (self._pause, self._kill, self._stop, self._cut, self._cut)
        while True:
            eventlet.sleep(self._chance.uniform(*_HARMS))
            daemon = self._chance.choice(self.daemons[1:])
            self._chance.choice(ways)(daemon)

    def _pause(self, daemon: daemons_.Daemon) -> None:
        daemon.send(signal.SIGSTOP)
        eventlet.sleep(self._chance.uniform(*_HARM))
        daemon.send(signal.SIGCONT)

    def _kill(self, daemon: daemons_.Daemon) -> None:
        daemon.kill()
        eventlet.sleep(self._chance.uniform(*_HARM))
        daemon.start()

    def _stop(self, daemon: daemons_.Daemon) -> None:
        daemon.stop()
        daemon.start()

    def _cut(self, daemon: daemons_.Daemon) -> None:
        """Refuse a daemon's new connections to all runners."""
        targets = [site.address for site in self.desk.sites]
        daemon.lead(targets, self._refusing)
        eventlet.sleep(2 * self._chance.uniform(*_HARM))
        daemon.lead([], self._refusing)

    def _take_runs(self) -> None:
        """Compare what runners say that they ran with what callers got."""
        said = [
            json.loads(line)
            for output in self.desk.outputs()
            for line in output.splitlines()
            if line.startswith('{"ran"')
        ]
        for run in sorted(said, key=lambda one: one["at"]):
            asked = ledgers.Asked(
                run["ran"],
                False,
                run["path"],
                run["digest"].encode(),
                run["team"],
                run["key"],
            )
            self.book.ran(asked, run["by"])
