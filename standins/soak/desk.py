"""Plain runners as processes, and what is done to them by signals."""

import itertools
import pathlib
import random
import signal
import time
from typing import NamedTuple

import eventlet

from standins import process
from standins import rowstore
from standins.soak import operator as operators

#: Services and zones of the addresses at which runners stand.
_SITES = (
    (operators.DESK, "zone-a"),
    (operators.DESK, "zone-a"),
    (operators.DESK, "zone-b"),
    (operators.DESK, "zone-b"),
    (operators.OTHER, "zone-a"),
    (operators.OTHER, "zone-b"),
)

#: Seconds of silence after which an entry lapses: two to three heartbeats.
_LAPSE = 1.2, 3.6

#: Seconds after which another service may take an address.
_REUSE = 2.0

#: Seconds that a runner serves after it has said that it leaves, and that one
#: is stopped or gone.
_LEAVES, _STOPPED, _GONE = 2.5, (0.2, 4.5), (0.5, 4.0)


class _Life(NamedTuple):
    """One start of a runner."""

    name: str
    process: process.Process


class Site:
    """An address at which one runner after the other stands.

    :param service: the service of its runners.
    :param zone: where it is.
    :ivar address: host:port.
    :ivar life: the runner that stands there, or None.
    """

    def __init__(self, service: str, zone: str) -> None:
        self.service, self.zone = service, zone
        self.address = process.free_address()
        self.life: _Life | None = None


class Desk:
    """All plain runners, of two services.

    :param store: takes their entries.
    :param folder: takes their output.
    :param chance: draws what is done to them.
    :ivar done: how often each thing was done.
    """

    def __init__(
        self,
        store: rowstore.RowStore,
        folder: pathlib.Path,
        chance: random.Random,
    ) -> None:
        self._store, self._folder, self._chance = store, folder, chance
        self._numbers = itertools.count(1)
        self._busy: set[Site] = set()
        self._lives: list[_Life] = []
        self.sites = [Site(service, zone) for service, zone in _SITES]
        self.done: dict[str, int] = {}
        self._actions = (
            self._restart,
            self._restart,
            self._pause,
            self._crash,
            self._leave,
            self._swap,
        )

    def start(self) -> None:
        """Start a runner at each address, and list it."""
        for site in self.sites:
            self._begin(site)
        for life in self._lives:
            life.process.wait_up()

    def end(self) -> None:
        """End all processes."""
        for life in self._lives:
            life.process.send(signal.SIGKILL)
            life.process.send(signal.SIGCONT)
            life.process.wait()

    def outputs(self) -> list[str]:
        """Return what each start of a runner wrote."""
        return [life.process.output() for life in self._lives]

    def trouble(self, apart: float) -> None:
        """Do one thing after the other to runners, for ever.

        :param apart: mean seconds between two.
        """
        while True:
            eventlet.sleep(self._chance.uniform(0.2, 1.8) * apart)
            action = self._chance.choice(self._actions)
            eventlet.spawn(self._do, action)

    def _do(self, action) -> None:
        free = [site for site in self.sites if site not in self._busy]
        if len(free) <= len(self.sites) // 2:
            # Most runners are sound at any time.
            return
        site = self._chance.choice(free)
        name = action.__name__.strip("_")
        self.done[name] = self.done.get(name, 0) + 1
        self._busy.add(site)
        try:
            action(site)
        finally:
            self._busy.discard(site)

    def _begin(self, site: Site) -> None:
        name = f"i-{next(self._numbers):06x}"
        started = process.Process(
            f"runner-{name}",
            [
                *("-m", "standins.soak.plainrunner"),
                *(site.address, name, f"{self._chance.random()}"),
            ],
            site.address,
            self._folder,
        )
        site.life = _Life(name, started)
        self._lives.append(site.life)
        self._list(site)

    def _list(self, site: Site, state: str = "ready") -> None:
        entry = {
            "Service": site.service,
            "Address": site.address,
            "Zone": site.zone,
            "Version": "1",
            "Slots": 3,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": round(time.time() * 1_000),
        }
        self._store.put("servers", site.life.name, entry)

    def _kill(self, site: Site) -> None:
        """End a runner; its entry lapses later."""
        life = site.life
        life.process.send(signal.SIGKILL)
        life.process.wait()
        eventlet.spawn_after(
            self._chance.uniform(*_LAPSE),
            self._store.drop,
            "servers",
            life.name,
        )

    def _restart(self, site: Site) -> None:
        """Let a runner start again at once, under a new id."""
        self._kill(site)
        self._begin(site)
        eventlet.sleep(_LAPSE[1])

    def _pause(self, site: Site) -> None:
        """Stop a runner, and let it go on with all that has come."""
        life, span = site.life, self._chance.uniform(*_STOPPED)
        life.process.send(signal.SIGSTOP)
        lapse = self._chance.uniform(*_LAPSE)
        eventlet.sleep(min(span, lapse))
        if span > lapse:
            self._store.drop("servers", life.name)
            eventlet.sleep(span - lapse)
        life.process.send(signal.SIGCONT)
        self._list(site)

    def _crash(self, site: Site) -> None:
        """Let a runner be gone for a while."""
        self._kill(site)
        eventlet.sleep(self._chance.uniform(*_GONE))
        self._begin(site)
        eventlet.sleep(_LAPSE[1])

    def _leave(self, site: Site) -> None:
        """Let a runner leave in order, and another take its place."""
        self._list(site, "draining")
        eventlet.sleep(_LEAVES)
        self._kill(site)
        self._begin(site)
        eventlet.sleep(_LAPSE[1])

    def _swap(self, site: Site) -> None:
        """Let runners of two services take each other's address."""
        others = [
            other
            for other in self.sites
            if other not in self._busy and other.service != site.service
        ]
        if not others:
            return
        other = self._chance.choice(others)
        self._busy.add(other)
        for one in (site, other):
            self._kill(one)
        eventlet.sleep(_REUSE)
        site.address, other.address = other.address, site.address
        for one in (site, other):
            self._begin(one)
        eventlet.sleep(_LAPSE[1])
        self._busy.discard(other)
