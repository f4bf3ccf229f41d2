"""A caller that checks what it gets."""

import hashlib
import http.client
import json
import random
import socket
import uuid

import eventlet

from standins.soak import crashing
from standins.soak import daemon as daemons
from standins.soak import ledger as ledgers
from standins.soak import needs
from standins.soak import operator as operators
from standins.soak import runner as runners

_PATIENCE = 8.0

#: Seconds that a caller gives its request; what is not written by then is of
#: no use to it, and may be ended.
_DEADLINE = 6.0

#: Bytes that a caller that reads slowly asks for in each event, that its
#: kernel holds unread, and the seconds between two reads.
_EVENT_SIZE, _BUFFER, _READ_PAUSE = 8_000, 8_192, 0.1

#: Paths of requests that must run once, the bytes of their bodies and the ms
#: that their callers give them.
_ONCE_PATHS = ("/once/", "/once/a/", "/once/a/b/", "/other/")
_SIZES, _DEADLINES = (0, 40, 600, 30_000, 200_000), (1_500, 3_000, 6_000)

#: Statuses that say that a request has not run.
_NOT_RUN = frozenset({408, 421, 429, 503})

#: Those that a proper request never gets.
_DENIED = frozenset({400, 401, 403, 404, 413, 431})


class Caller:
    """Sends requests on connections that it keeps as long as they hold.

    :param fleet: the daemons.
    :param book: the accounts.
    :param chance: source of chance.
    :param longest: most events of a stream.
    :ivar is_slow: whether it reads slowly.
    """

    def __init__(
        self,
        fleet: list[daemons.Daemon],
        book: ledgers.Ledger,
        chance: random.Random,
        longest: int,
    ) -> None:
        self._fleet, self._book, self._chance = fleet, book, chance
        self._longest = longest
        self.is_slow = False
        self._left_at_by_id: dict[str, float] = {}

    def run(self) -> None:
        """Call for ever."""
        while True:
            daemon = self._chance.choice(self._fleet)
            connection = http.client.HTTPConnection(
                daemon.front, timeout=_PATIENCE
            )
            try:
                if self.is_slow:
                    connection.connect()
                    connection.sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER
                    )
                while self._one(connection, daemon):
                    pause = self._chance.uniform(0.02, 0.2)
                    # Those of a daemon that stops go on at once.
                    eventlet.sleep(pause if daemon.up else 0.0)
            except (OSError, http.client.HTTPException):
                eventlet.sleep(self._chance.uniform(0.05, 0.3))
            finally:
                connection.close()

    def check_left(self) -> None:
        """Look whether anything began for requests that were left."""
        for request, left in self._left_at_by_id.items():
            for run in self._book.runs(request):
                in_time = run.at <= left + 0.5
                self._book.look(
                    "nothing begins for a caller that has left, unless "
                    "faults hide it",
                    in_time or self._book.troubled_since(left),
                    f"{run} left at {left:.2f}",
                )

    def _one(self, connection, daemon: daemons.Daemon) -> bool:
        asked, method, head = self._make()
        began = self._book.now
        self._book.ask(asked, daemon.name)
        sent = False
        try:
            self._send(connection, method, asked, head)
            sent = True
            if self._chance.random() < 0.03:
                return self._leave(connection, asked)
            got = connection.getresponse()
            self._take_needs(daemon, got)
            data = self._read(got)
        except (OSError, http.client.HTTPException) as error:
            self._book.first(
                daemon.name, began, False, f"{asked.id}: {error!r}", asked
            )
            self._cut(daemon, asked, began, sent, error)
            raise
        self._judge(asked, got, data)
        served = got.status == 200
        self._book.first(
            daemon.name, began, served, f"{asked.id}: {data[:300]!r}", asked
        )
        if got.status in _NOT_RUN:
            wait = float(got.headers.get("Retry-After", "0.1"))
            eventlet.sleep(min(wait, 2.0))
        return not got.will_close

    def _send(self, connection, method: str, asked, head) -> None:
        connection.request(method, asked.path, asked.body or None, head)

    def _take_needs(self, daemon: daemons.Daemon, got) -> None:
        book = self._book
        runner, _, _ = got.headers.get("X-Runner-Seal", "").partition(".")
        if needs.LIMIT in got.headers:
            book.needs.tell(daemon.name, runner, book.now)
        if needs.LEAVING in got.headers:
            book.needs.tell_leaving(daemon.name, runner, book.now)

    def _read(self, got: http.client.HTTPResponse) -> bytes:
        if not self.is_slow:
            return got.read()
        data = b""
        while piece := got.read1(_EVENT_SIZE):
            data += piece
            eventlet.sleep(_READ_PAUSE)
        # It does not end by itself when its length has been read in parts.
        got.close()
        return data

    def _make(self) -> tuple[ledgers.Asked, str, dict[str, str]]:
        number = uuid.UUID(int=self._chance.getrandbits(128)).hex
        team, key = self._chance.choice(list(operators.TEAMS.items()))
        head = {
            "Host": operators.HOST,
            "X-Attempt-Id": number,
            "X-Api-Key": key,
            "X-Deadline-Ms": "%d" % (_DEADLINE * 1_000),
            # Whatever a caller says of its team must not count.
            "X-Tenant": "team-forged",
        }
        turn = self._chance.random()
        if turn < 0.6:
            model = self._chance.choice(list(operators.SIZE_BY_MODEL))
            parts = crashing.sound_parts(number)
            head |= {"X-Model": model, "X-Token-Usage": "100,60"}
            head["X-Prompt-Prefix"] = parts
            path = f"/stream/{self._chance.randint(3, self._longest)}"
            ask = b"ask %d" % (_EVENT_SIZE if self.is_slow else 0)
            made = ledgers.Asked(number, True, path, ask, team, key, parts)
            return made, "POST", head
        if turn < 0.85:
            body = self._chance.randbytes(self._chance.choice((0, 40, 30_000)))
            made = ledgers.Asked(number, False, "/once/a", body, team, key)
            return made, "POST", head
        made = ledgers.Asked(number, True, "/again/a", b"", team, key)
        return made, "GET", head

    def _leave(self, connection, asked: ledgers.Asked) -> bool:
        eventlet.sleep(self._chance.uniform(0.0, 0.2))
        connection.close()
        self._left_at_by_id[asked.id] = self._book.now
        self._book.end("left")
        return False

    def _cut(
        self, daemon, asked, began: float, sent: bool, error: Exception
    ) -> None:
        self._book.end("cut" if sent else "not sent")
        if isinstance(error, ConnectionRefusedError | socket.timeout):
            return
        # A daemon that ends in order answers whatever it has passed on.
        runs = self._book.runs(asked.id)
        # An upstream that does not run writes nothing by the deadline.
        over = self._book.now - began >= _DEADLINE
        over = over and self._book.stood_still_since(began)
        if runs:
            self._book.cuts.append(ledgers.Cut(asked.id, daemon.name))
        self._book.look(
            "no answer is cut, unless faults do it",
            not runs or over or self._book.troubled_since(runs[0].at),
            f"{asked.id} at {daemon.name}: {error!r}, ran {runs}",
        )

    def _judge(self, asked: ledgers.Asked, got, data: bytes) -> None:
        self._book.end(str(got.status))
        if got.status in _NOT_RUN:
            self._book.refused(asked.id, got.status)
            return
        denied = got.status in _DENIED
        detail = f"{asked.path}: {got.status} {data[:200]!r}"
        self._book.look("no proper request is denied", not denied, detail)
        if got.status != 200:
            return
        sealed = asked.id in got.headers.get("X-Runner-Seal", "")
        same = got.headers.get("X-Attempt-Id") == asked.id
        self._book.look(
            "an answer is the request's own", sealed and same, detail
        )
        self._book.look(
            "an answer that looks whole is whole",
            data == _expected(asked, data),
            f"{asked.path}: {data[-200:]!r}",
        )


class OnceCaller(Caller):
    """Sends requests that must run once, to two services.

    Their bodies have a length or are sent in chunks; the accounts hold the
    digest of each.
    """

    _body = b""

    def _make(self) -> tuple[ledgers.Asked, str, dict[str, str]]:
        chance = self._chance
        number = uuid.UUID(int=chance.getrandbits(128)).hex
        team, key = chance.choice(list(operators.TEAMS.items()))
        head = {
            "Host": operators.HOST,
            "X-Attempt-Id": number,
            "X-Api-Key": key,
            "X-Deadline-Ms": "%d" % chance.choice(_DEADLINES),
        }
        path = chance.choice(_ONCE_PATHS) + "%d?p=/a/b&n=%d" % (
            chance.randrange(9),
            chance.randrange(99),
        )
        self._body = chance.randbytes(chance.choice(_SIZES))
        digest = hashlib.sha256(self._body).hexdigest().encode()
        return (
            ledgers.Asked(number, False, path, digest, team, key),
            "POST",
            head,
        )

    def _send(self, connection, method: str, asked, head) -> None:
        if self._chance.random() < 0.5:
            connection.request(method, asked.path, self._body, head)
            return
        half = len(self._body) // 2
        chunks = self._body[:half], self._body[half:]
        connection.request(
            method,
            asked.path,
            iter([part for part in chunks if part]),
            head | {"Transfer-Encoding": "chunked"},
            encode_chunked=True,
        )


def _expected(asked: ledgers.Asked, data: bytes) -> bytes:
    if asked.path.startswith("/stream/"):
        count = int(asked.path.rpartition("/")[2])
        return b"".join(
            runners.event(asked.id, n, asked.body) for n in range(1, count + 1)
        )
    try:
        return data if json.loads(data)["number"] == asked.id else b""
    except ValueError:
        return b""
