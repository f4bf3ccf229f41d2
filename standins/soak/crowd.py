"""Many new connections, most of which reach one daemon."""

import http.client
import random
from typing import NamedTuple
import uuid

import eventlet

from standins.soak import daemon as daemons
from standins.soak import ledger as ledgers
from standins.soak import operator as operators

#: Part of the connections that reach the one daemon.
_SHARE = 0.9

#: Seconds for which a connection is kept after its answer.
_KEPT = 5.0

_TIMEOUT = 4.0


class Result(NamedTuple):
    """What a connection got, ``at`` in seconds; status 0 is no answer."""

    at: float
    daemon: str
    status: int
    ran: bool


class Crowd:
    """Opens connections, and sends a request on each.

    :param fleet: the daemons; most connections reach the first one.
    :param book: the accounts.
    :param chance: source of chance.
    :ivar results: of the requests.
    """

    def __init__(
        self,
        fleet: list[daemons.Daemon],
        book: ledgers.Ledger,
        chance: random.Random,
    ) -> None:
        self._fleet, self._book, self._chance = fleet, book, chance
        self.results: list[Result] = []

    def run(self, seconds: float, rate: float) -> None:
        """Open connections.

        :param seconds: for how long.
        :param rate: connections a second.
        """
        until = self._book.now + seconds
        while self._book.now < until:
            is_first = self._chance.random() < _SHARE
            daemon = self._chance.choice(
                self._fleet[:1] if is_first else self._fleet[1:]
            )
            eventlet.spawn(self._open, daemon)
            eventlet.sleep(1 / rate)

    def _open(self, daemon: daemons.Daemon) -> None:
        number = uuid.UUID(int=self._chance.getrandbits(128)).hex
        team, key = self._chance.choice(list(operators.TEAMS.items()))
        asked = ledgers.Asked(number, True, "/again/a", b"", team, key)
        self._book.ask(asked)
        at = self._book.now
        head = {
            "Host": operators.HOST,
            "X-Attempt-Id": number,
            "X-Api-Key": key,
        }
        connection = http.client.HTTPConnection(daemon.front, timeout=_TIMEOUT)
        status = 0
        try:
            connection.request("GET", asked.path, headers=head)
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            # A connection that is closed unread has no answer.
            pass
        ran = bool(self._book.runs(number))
        self.results.append(Result(at, daemon.name, status, ran))
        if status:
            eventlet.sleep(_KEPT)
        connection.close()
