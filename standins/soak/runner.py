"""A runner with groups, as the users' platform describes it."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import random
import socket as plain_socket
import time
from typing import Any

import eventlet
from eventlet.green import socket
import eventlet.wsgi
import msgspec

from standins import process
from standins import rowstore
from standins.soak import ledger as ledgers
from standins.soak import needs
from standins.soak import place as places
from standins.soak import relay as relays

#: Seconds between two events of a stream, and of a plain request.
_GAP = 0.04
_WORK = 0.08

#: Seconds from the begin of an answer to the crash by a part of its prompt,
#: from then until the entry lapses, and until the runner is back.
_CRASH_AFTER, _LAPSE, _BACK = (0.03, 0.12), 1.5, 3.0

#: Bytes that a runner that reads slowly takes at once, and the seconds
#: between.
_READ_SIZE, _READ_PAUSE = 4_000, 0.05

#: Seconds between two looks of a stream that stands still.
_LOOK = 0.05


class Runner:
    """Serves behind a relay, and tells the store of itself.

    :param name: its id.
    :param service: its service.
    :param zone: where it stands.
    :param store: takes its entry.
    :param book: the accounts.
    :param chance: for misbehaviour.
    :param fleet: the places of all runners by id.
    :param size_by_model: members of a group, for a service with groups.
    :param on_run: told the zone of each request that begins.
    :ivar relay: harms its connections.
    :ivar place: where it stands in groups.
    :ivar listed: whether it reaches the store.
    :ivar late: whether orders are answered by nobody and carried out late.
    :ivar is_slow: whether it reads requests slowly.
    :ivar loses: whether answers of what it ran are lost.
    :ivar limit: the rate that its answers name, or nothing.
    :ivar rest: seconds for which it wants nothing from those that it turns
        away; 0 if it turns nobody away.
    :ivar is_leaving: whether its answers say that it leaves.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: rowstore.RowStore,
        book: ledgers.Ledger,
        chance: random.Random,
        fleet: dict[str, places.Place],
        size_by_model: dict[str, int] | None = None,
        on_run: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self._store, self._book, self._chance = store, book, chance
        self._sizes = size_by_model or {}
        self._on_run = on_run
        self.place = places.Place(name, fleet, book, self.tell)
        self.listed = True
        self.draining_at: float | None = None
        self.late = self.loses = self.is_slow = False
        self.limit = ""
        self.rest = 0.0
        self.is_leaving = False
        self._life = 0
        self._born = round(time.time() * 1_000)
        self._socket = process.listen(256)
        self._task = eventlet.spawn(
            eventlet.wsgi.server,
            self._socket,
            self,
            log_output=False,
            minimum_chunk_size=0,
        )
        self.relay = relays.Relay(
            "127.0.0.1:%d" % self._socket.getsockname()[1]
        )
        self.tell()

    @property
    def alive(self) -> bool:
        """Tell whether it works."""
        return self.place.alive

    def is_sound(self) -> bool:
        """Tell whether it works, is listed and stays."""
        return self.alive and self.listed and self.draining_at is None

    def tell(self) -> None:
        """Write the entry as it is now."""
        if not self.alive or not self.listed or self.place.silent:
            return
        state = "ready" if self.draining_at is None else "draining"
        entry: dict[str, Any] = {
            "Service": self.service,
            "Address": self.relay.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self._born,
        }
        if self._sizes:
            entry |= {"Domain": f"{self.zone}-0", "Staged": list(self._sizes)}
            entry["group"] = self.place.said()
        self._store.put("servers", self.name, entry)

    def crash(self) -> None:
        """Die without a word."""
        self._life += 1
        self.end_limit()
        self.rest = 0.0
        self.place.crash()
        self.relay.do(relays.Harm.REFUSED)

    def end_process(self) -> None:
        """Crash, lapse from the list and start again, as processes do.

        Its connections are closed and its port refuses.
        """
        self._life += 1
        self.end_limit()
        self.rest = 0.0
        life = self._life
        self.place.crash()
        self.relay.end()
        eventlet.sleep(_LAPSE)
        if life == self._life and not self.alive:
            self._store.drop("servers", self.name)
            eventlet.sleep(_BACK - _LAPSE)
        if life == self._life and not self.alive:
            self.start()

    def start(self) -> None:
        """Come back with nothing known, under the same id."""
        self.place.start()
        self.rest, self.is_leaving = 0.0, False
        self._book.needs.stay(self.name)
        self.listed = True
        self.draining_at = None
        self._born = round(time.time() * 1_000)
        self.relay.begin()
        self.relay.do(relays.Harm.NONE)
        self.tell()

    def pause(self, seconds: float) -> None:
        """Do nothing for a while, then go on where it was.

        Connections are accepted and its entry stays, as when its process is
        stopped.

        :param seconds: for how long.
        """
        self.place.silent = True
        eventlet.sleep(seconds)
        self.place.silent = False
        self.tell()

    def name_limit(self, rate: float) -> None:
        """Name a rate in all answers from now on.

        :param rate: requests per second.
        """
        self.limit = f"{rate:g}"
        named = needs.Limit(self.name, rate, self._book.now)
        self._book.needs.begin(named)

    def end_limit(self) -> None:
        """Name no rate any more."""
        self.limit = ""
        limits = self._book.needs.limits
        limits[:] = [
            limit._replace(end=min(limit.end, self._book.now))
            if limit.upstream == self.name
            else limit
            for limit in limits
        ]

    def drain(self) -> None:
        """Say that it is leaving."""
        self.draining_at = self._book.now
        self.tell()

    def stop_listening(self) -> None:
        """Take nothing new any more; its head does not either."""
        self.place.deaf = True
        self.unlist()
        self.relay.do(relays.Harm.REFUSED)

    def unlist(self) -> None:
        """Let its entry lapse."""
        self.listed = False
        self._store.drop("servers", self.name)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        expected = environ.get("HTTP_X_EXPECT_RUNNER")
        body = self._read(environ["wsgi.input"])
        number = environ.get("HTTP_X_ATTEMPT_ID", "")
        if self.place.silent:
            self.place.wait_awake()
            if _is_left(environ):
                return self._hang_up(environ)
        if expected not in (None, self.name):
            return self._not_run(start_response, 421, number)
        if path == "/v1/report":
            said = {"Staged": list(self._sizes), "born": self._born}
            return _json(
                start_response, 200, said | {"group": self.place.said()}
            )
        if path == "/v1/order":
            status = self._ordered(msgspec.json.decode(body))
            if status is None:
                return self._hang_up(environ)
            return _json(start_response, status, {})
        return self._serve(environ, start_response, body)

    def _read(self, source: Any) -> bytes:
        if not self.is_slow:
            return source.read()
        body = b""
        while piece := source.read(_READ_SIZE):
            body += piece
            eventlet.sleep(_READ_PAUSE)
        return body

    def _ordered(self, order: dict[str, Any]) -> int | None:
        if self.late and self._chance.random() < 0.5:
            delay = self._chance.uniform(1.0, 5.0)
            eventlet.spawn_after(delay, self._carry_out, order, self._life)
            return None
        return self._carry_out(order, self._life)

    def _carry_out(self, order: dict[str, Any], life: int) -> int:
        if life != self._life or not self.alive:
            return 409
        return self.place.carry_out(order)

    def _serve(self, environ, start_response, body) -> Iterable[bytes]:
        number = environ.get("HTTP_X_ATTEMPT_ID", "")
        parts = environ.get("HTTP_X_PROMPT_PREFIX", "")
        daemon = self._book.reached(number, self.name)
        part = self._book.parts.find(parts, body)
        if part:
            now = self._book.now
            self._book.parts.arrivals.append(
                ledgers.PartEvent(now, part, self.name)
            )
        if self.rest:
            return self._turn_away(start_response, number, daemon)
        if self._sizes:
            held = self.place.group
            if held is None or held.rank or held.state != "open":
                return self._not_run(start_response, 421, number)
            whole = self.place.listens() and self.place.wait_whole(held)
            if not whole:
                return self._not_run(start_response, 503, number)
            self._look_at_group(held, environ.get("HTTP_X_MODEL", ""))
        self._look_at_leaving()
        self._on_run(self.zone)
        self._book.ran(
            ledgers.Asked(
                number,
                False,
                environ["PATH_INFO"],
                body,
                environ.get("HTTP_X_TENANT", ""),
                environ.get("HTTP_X_API_KEY", ""),
                parts,
            ),
            self.name,
        )
        if part:
            delay = self._chance.uniform(*_CRASH_AFTER)
            eventlet.spawn_after(delay, self._crash_by, part, self._life)
            if part in self._book.parts.whole:
                # It ends before the first byte of an answer.
                eventlet.sleep(delay + _GAP)
                return self._hang_up(environ)
        if self._sizes:
            return self._stream(environ, start_response, number, body)
        eventlet.sleep(_WORK)
        self.place.wait_awake()
        if not self.alive or (self.loses and self._chance.random() < 0.3):
            return self._hang_up(environ)
        seal = f"{self.name}.{number}"
        data = msgspec.json.encode({"number": number, "by": self.name})
        start_response("200 OK", _head(number, seal, data) + self._said())
        return [data]

    def _crash_by(self, part: str, life: int) -> None:
        if life == self._life and self.alive:
            now = self._book.now
            self._book.parts.crashes.append(
                ledgers.PartEvent(now, part, self.name)
            )
            self.end_process()

    def _stream(
        self, environ, start_response, number, body
    ) -> Iterable[bytes]:
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        count = int(environ["PATH_INFO"].rstrip("/").rpartition("/")[2])
        head = [("Content-Type", "text/event-stream")]
        head += _head(number, f"{self.name}.{number}") + self._said()
        start_response("200 OK", head)
        return self._events(number, first, count, body)

    def _events(
        self, number: str, first: int, last: int, body: bytes
    ) -> Iterable[bytes]:
        place, held, life = self.place, self.place.group, self._life
        place.running += 1
        try:
            for turn in range(first, last + 1):
                eventlet.sleep(_GAP)
                place.wait_awake()
                while place.group is held and place.stands_still():
                    if place.is_broken():
                        break
                    eventlet.sleep(_LOOK)
                gone = life != self._life or place.group is not held
                if gone or held.is_preempted or place.is_broken():
                    raise ConnectionResetError("the runner is gone")
                yield event(number, turn, body)
        finally:
            place.running -= 1

    def _look_at_group(self, held: places.Group, model: str) -> None:
        size = self._sizes.get(model)
        detail = f"{held.name} with {len(held.members)} of {size} for {model}"
        whole = size == len(held.members)
        self._book.look("a group that serves is whole", whole, detail)
        ready = self.place.all_were_ready()
        self._book.look(
            "a group opens when all have been ready", ready, detail
        )

    def _look_at_leaving(self) -> None:
        if self.draining_at is None:
            return
        passed = self._book.now - self.draining_at
        self._book.look(
            "what leaves gets nothing new after 2 s, unless faults hide it",
            passed <= 2.0 or self._book.troubled_since(self.draining_at),
            f"{self.name} after {passed:.2f} s",
        )

    def _not_run(
        self, start_response, status: int, number: str, more=()
    ) -> Iterable[bytes]:
        head = [("X-Not-Executed", "1"), ("At-Server", self.name), *more]
        head.append(("X-Attempt-Id", number))
        head += self._said()
        return _json(start_response, status, {}, head)

    def _turn_away(
        self, start_response, number: str, daemon: str
    ) -> Iterable[bytes]:
        now = self._book.now
        rest = needs.Rest(self.name, daemon, now, now + self.rest)
        self._book.needs.rests.append(rest)
        more = [(needs.REST, f"{self.rest:g}")]
        return self._not_run(start_response, 503, number, more)

    def _said(self) -> list[tuple[str, str]]:
        """Return what its answers say of its need."""
        said = [(needs.LIMIT, self.limit)] if self.limit else []
        return [*said, (needs.LEAVING, "1")] if self.is_leaving else said

    def _hang_up(self, environ) -> Iterable[bytes]:
        with contextlib.suppress(OSError):
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
        return [b""]


def event(request: str, number: int, body: bytes) -> bytes:
    """Return an event of a stream.

    :param request: the id of the request.
    :param number: the id of the event.
    :param body: of the request; may say how many bytes an event has at least.
    """
    _, _, size = body.partition(b" ")
    piece = b"id: %d\ndata: %s-%d" % (number, request.encode(), number)
    return piece.ljust(int(size or 0)) + b"\n\n"


def _is_left(environ: dict[str, Any]) -> bool:
    """Tell whether nobody waits for the answer any more."""
    plain = environ["eventlet.input"].get_socket().fd
    try:
        return not plain.recv(1, plain_socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _head(
    number: str, seal: str, data: bytes | None = None
) -> list[tuple[str, str]]:
    head = [("X-Attempt-Id", number), ("X-Runner-Seal", seal)]
    if data is not None:
        head.append(("Content-Length", str(len(data))))
    return head


def _json(start_response, status, said, more=()) -> list[bytes]:
    data = msgspec.json.encode(said)
    head = [("Content-Type", "application/json"), *more]
    head.append(("Content-Length", str(len(data))))
    start_response(f"{status} -", head)
    return [data]
