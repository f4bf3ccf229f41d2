"""The operator's declarations, and looks whether they are in force."""

import http.client
import random
import uuid

import eventlet

from standins import rowstore
from standins.soak import daemon as daemons
from standins.soak import ledger as ledgers

HOST = "soak.example"
MODELS = "engines"
DESK = "desk"
OTHER = "other"
SIZE_BY_MODEL = {"large": 3, "small": 2}
TEAMS = {f"team-{n}": f"key-{n}" for n in range(4)}
TEAM = "team-0"

#: Seconds after which an accepted version must be in force.
_IN_FORCE = 2.0

#: A wait that ends so many seconds late tells a stop of the soak itself, which
#: is noted within so many more.
_LATE, _NOTED = 0.1, 0.05

#: Seconds after which a zone that is out gets no new work.
_OUT = 5.0

_ENGINE = {
    "Slots": 13,
    "step_ms": 6.45,
    "per_seq_ms": 0.19,
    "read_per_s": 56_100,
    "Stride": 6,
    "LoadsPerS": 5.5,
    "loads_at_once": 8,
    "CachedPrefixes": 2,
    "FormMs": 300,
    "usual": {"prompt": 100, "answer": 60},
    "Models": [
        {
            "Name": name,
            "size": size,
            "Share": 0.5,
            "pace": 1.0,
            "LoadS": 1,
            "WarmupS": 0.2,
        }
        for name, size in SIZE_BY_MODEL.items()
    ],
}


class Operator:
    """Writes versions that only rise.

    :param store: takes them.
    :param book: the accounts.
    :param chance: source of chance.
    :param attempts: most runners that requests to /once/ may be sent to.
    """

    def __init__(
        self,
        store: rowstore.RowStore,
        book: ledgers.Ledger,
        chance: random.Random,
        attempts: int = 1,
    ) -> None:
        self._store, self._book, self._chance = store, book, chance
        self._attempts = attempts
        self._version = 0
        self._extra: tuple[str, str] = ("", "")
        self._spare_key = ""
        self._out_at_by_zone: dict[str, float] = {}
        self.write()

    def write(self) -> None:
        """Declare a new version: another extra route and spare key."""
        self._version += self._chance.randint(1, 3)
        self._extra = self._extra[1], f"/extra-{self._version}/"
        self._spare_key = f"spare-{self._version}"
        self._store.put("op", "config", self._declared())

    def spare_key(self, team: str) -> str:
        """Return the second key of a team, which each version replaces.

        :param team: its name.
        """
        return f"{TEAMS[team]}-{self._spare_key}"

    def check(self, up: list[daemons.Daemon]) -> None:
        """Look whether the newest version is in force everywhere.

        :param up: the daemons that should be serving.
        """
        written = self._book.now
        dropped, added = self._extra
        self.wait_in_force()
        for daemon in up:
            seen = self._status(daemon, added), self._status(daemon, dropped)
            if self._extra != (dropped, added):
                # A newer version has dropped what this one added.
                return
            kept = seen[0] not in (0, 401, 404) and seen[1] in (0, 404)
            excused = self._book.troubled_since(written) or not daemon.up
            self._book.look(
                "a version is in force within 2 s, unless faults hinder it",
                kept or excused or 0 in seen,
                f"{daemon.name}: {added} {seen[0]}, {dropped} {seen[1]}",
            )

    def wait_in_force(self) -> None:
        """Wait until what is written now must be in force.

        The soak's own process plays the store: while it waits for a
        processor, no daemon can read.
        """
        began, queued = self._book.now, self._book.queued
        eventlet.sleep(_IN_FORCE)
        if self._book.now - began > _IN_FORCE + _LATE:
            eventlet.sleep(_NOTED)
        while (
            left := began + _IN_FORCE + self._book.queued - queued
        ) > self._book.now:
            eventlet.sleep(left - self._book.now)

    def set_out(self, zone: str, is_out: bool) -> None:
        """Take a zone out of service, or back.

        :param zone: its name.
        :param is_out: whether it is to get no new work.
        """
        if is_out:
            self._store.put("op", f"evacuate/{zone}", {})
            self._out_at_by_zone[zone] = self._book.now
        else:
            self._out_at_by_zone.pop(zone, None)
            self._store.drop("op", f"evacuate/{zone}")

    def look_at(self, zone: str) -> None:
        """Look whether a zone in which a request begins is in service.

        :param zone: its name.
        """
        out = self._out_at_by_zone.get(zone)
        if out is None:
            return
        self._book.look(
            "a zone that is out gets nothing after 5 s, unless faults hide it",
            self._book.now - out <= _OUT or self._book.troubled_since(out),
            f"{zone} after {self._book.now - out:.2f} s",
        )

    def _declared(self) -> dict:
        kinds = {
            "/stream/": ("streaming", MODELS, 2),
            "/once/": ("unsafe", DESK, self._attempts),
            "/other/": ("unsafe", OTHER, self._attempts),
            "/again/": ("safe", DESK, 2),
            self._extra[1]: ("safe", DESK, 2),
        }
        return {
            "Version": self._version,
            "Routes": [
                {
                    "Name": prefix,
                    "Host": HOST,
                    "Prefix": prefix,
                    "Kind": kind,
                    "Service": service,
                    "TimeoutMs": 6_000,
                    "TargetLatencyMs": 400,
                    "MaxAttempts": attempts,
                    "StreamResume": kind == "streaming",
                }
                for prefix, (kind, service, attempts) in kinds.items()
            ],
            "Services": [
                {"Name": MODELS, "HealthPath": "/health", "Engine": _ENGINE},
                {"Name": DESK, "HealthPath": "/health"},
                {"Name": OTHER, "HealthPath": "/health"},
            ],
            "Limits": {},
            "Tenants": [
                {"Name": name, "ApiKeys": [key, self.spare_key(name)]}
                for name, key in TEAMS.items()
            ],
        }

    def _status(self, daemon: daemons.Daemon, path: str) -> int:
        """Return the status that a daemon answers, 0 for none."""
        if not path:
            return 0
        number = uuid.UUID(int=self._chance.getrandbits(128)).hex
        team, key = next(iter(TEAMS.items()))
        self._book.ask(ledgers.Asked(number, True, path, b"", team, key))
        connection = http.client.HTTPConnection(daemon.front, timeout=3)
        head = {"Host": HOST, "X-Api-Key": key, "X-Attempt-Id": number}
        try:
            connection.request("GET", path, headers=head)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()
