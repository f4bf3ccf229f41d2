"""One run of the soak."""

import collections
from collections.abc import Callable
import pathlib
import random
import time

import eventlet

from standins.soak import caller as callers
from standins.soak import daemon as daemons_
from standins.soak import installation as installations
from standins.soak import ledger as ledgers
from standins.soak import pulse as pulses
from standins.soak import schedule as schedules

#: Seconds between two versions of the configuration.
_VERSIONS_APART = 4.0

_UP_SECONDS = 20.0

#: Peers read slowly in each third seed.
_SLOW_EVERY = 3

#: Most events of a stream; one takes a second then.
_LONGEST = 25


class Soak:
    """One run.

    :param seed: draws faults and requests.
    :param seconds: how long faults come.
    :param daemons: processes of the program.
    :param calling: callers at a time.
    :param folder: takes settings and output.
    :param longest: most events of a stream.
    :ivar seconds: the same as the parameter.
    :ivar installation: store, runners and daemons.
    :ivar events: what is injected, by time.
    :ivar beside: what else is done while it plays.
    :ivar book: the accounts.
    :ivar injected: how often each fault came.
    :ivar pulse: tells when the soak's own process stood still.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        calling: int,
        folder: pathlib.Path,
        longest: int = _LONGEST,
    ) -> None:
        self.seconds = seconds
        self.events = schedules.draw(seed, seconds)
        self.book = ledgers.Ledger()
        self.installation = installations.Installation(
            folder, daemons, seed, self.book
        )
        self._callers = [
            callers.Caller(
                self.installation.daemons,
                self.book,
                random.Random(f"{seed}/{n}"),
                longest,
            )
            for n in range(calling)
        ]
        if seed % _SLOW_EVERY == 0:
            self._slow_down()
        self.injected: collections.Counter[str] = collections.Counter()
        self.pulse = pulses.Pulse(self.book)
        self.beside: Callable[[Soak], None] = lambda _: None

    def _slow_down(self) -> None:
        """Let every third caller and every second runner read slowly."""
        for caller in self._callers[::3]:
            caller.is_slow = True
        for runner in self.installation.all_runners[::2]:
            runner.is_slow = True
        for daemon in self.installation.daemons:
            daemon.contracts = ["pressure"]

    def run(self) -> list[ledgers.Broken]:
        """Play it; return the promises that were broken."""
        self.installation.start()
        try:
            self._play()
        finally:
            codes = self.installation.end()
        for code in codes:
            self.book.look(
                "a daemon ends in order with 0", code == 0, str(code)
            )
        for daemon in self.installation.daemons:
            own = "Traceback" not in daemon.output()
            self.book.look("no daemon logs a traceback", own, daemon.name)
            failed = [
                line
                for line in daemon.output().splitlines()
                if '"event":"task failed"' in line
            ]
            self.book.look(
                "no task of a daemon fails", not failed, f"{failed[:3]}"
            )
        return self.book.broken

    def story(self, broken: ledgers.Broken) -> list[str]:
        """Return what the daemons logged of a request, by time.

        :param broken: a promise whose detail begins with the request's id.
        """
        request = broken.detail.split(" ")[0]
        lines = [
            line
            for daemon in self.installation.daemons
            for line in daemon.output().splitlines()
            if request and request in line
        ]
        return [f"{broken.promise}: {broken.detail}", *sorted(lines)]

    def _play(self) -> None:
        made, book = self.installation, self.book
        self._wait_until_up()
        book.began = time.monotonic()
        pulse = eventlet.spawn(self.pulse.run)
        calling = [eventlet.spawn(each.run) for each in self._callers]
        versions = eventlet.spawn(self._versions)
        beside = eventlet.spawn(self.beside, self)
        for event in self.events:
            eventlet.sleep(max(0.0, event.at - book.now))
            self.injected[event.fault] += 1
            eventlet.spawn(made.do, event)
        eventlet.sleep(max(0.0, self.seconds - book.now))
        for task in (*calling, versions, beside, pulse):
            task.kill()
        eventlet.sleep(0.6)
        for each in self._callers:
            each.check_left()
        self._look_at_needs()

    def _look_at_needs(self) -> None:
        needs = self.book.needs
        excesses = list(needs.excesses())
        for limit in needs.limits:
            found = [e for e in excesses if e.upstream == limit.upstream]
            self.book.look(
                "a runner that names a rate gets no more",
                not found,
                f"{found}",
            )
        broken = needs.broken_rests()
        for rest in needs.rests:
            found = [count for one, count in broken if one == rest]
            self.book.look(
                "a runner that asks for rest gets two requests at most",
                not found,
                f"{rest} {found}",
            )
        self.book.look(
            "a runner that says that it leaves gets nothing after 2 s",
            not needs.late,
            f"{needs.late[:3]}",
        )

    def _versions(self) -> None:
        while True:
            eventlet.sleep(_VERSIONS_APART)
            self.installation.operator.write()
            self.installation.operator.check(self.installation.up)

    def _wait_until_up(self) -> None:
        until = time.monotonic() + _UP_SECONDS
        ready = daemons_.all_ready
        while not ready(self.installation.daemons):
            if time.monotonic() > until:
                raise RuntimeError(self._who_is_not_up())
            eventlet.sleep(0.1)

    def _who_is_not_up(self) -> str:
        tails = [
            f"{daemon.name} did not get ready: {daemon.output()[-600:]}"
            for daemon in self.installation.daemons
            if not daemon.is_ready()
        ]
        return "\n".join(tails)
