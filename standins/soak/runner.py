"""A runner with groups, as the users' platform describes it."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time
from typing import Any

import eventlet
from eventlet.green import socket
import eventlet.wsgi
import msgspec

from standins import rowstore
from standins.soak import ledger as ledgers
from standins.soak import relay as relays

#: Seconds of a join, of the opening, and until a head that lost a member
#: breaks; short, so that many happen in a soak of a minute.
_JOIN = 0.2
_FORM = 0.3
_STALL = 4.0

_GAP = 0.04
_WORK = 0.08


class Group(msgspec.Struct):
    """A runner's place in a group."""

    name: str
    epoch: int
    members: tuple[str, ...]
    rank: int
    state: str = "joining"
    is_preempted: bool = False


class Runner:
    """Serves behind a relay, and tells the store of itself.

    :param name: its id.
    :param service: its service.
    :param zone: where it stands.
    :param store: takes its entry.
    :param book: the accounts.
    :param chance: for misbehaviour.
    :param fleet: all runners by id.
    :param size_by_model: members of a group, for a service with groups.
    :param on_run: told the zone of each request that begins.
    :ivar relay: harms its connections.
    :ivar alive: whether it works.
    :ivar listed: whether it reaches the store.
    :ivar deaf: whether it listens no more and stays for its head's work only.
    :ivar late: whether orders are answered by nobody and carried out late.
    :ivar loses: whether answers of what it ran are lost.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: rowstore.RowStore,
        book: ledgers.Ledger,
        chance: random.Random,
        fleet: dict[str, "Runner"],
        size_by_model: dict[str, int] | None = None,
        on_run: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self._store, self._book, self._chance = store, book, chance
        self._fleet = fleet
        self._sizes = size_by_model or {}
        self._on_run = on_run
        self.alive = self.listed = True
        self.draining_at: float | None = None
        self.late = self.loses = self.deaf = False
        self.group: Group | None = None
        self._sequence = self._seen_epoch = 0
        self._running = 0
        self._still_since: float | None = None
        self._life = 0
        self._born = round(time.time() * 1_000)
        self._socket = eventlet.listen(("127.0.0.1", 0), backlog=256)
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

    def tell(self) -> None:
        """Write the entry as it is now."""
        if not self.alive or not self.listed:
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
            entry["group"] = self._group_said()
        self._store.put("servers", self.name, entry)

    def crash(self) -> None:
        """Die without a word."""
        self.alive = False
        self._life += 1
        self.group = None
        self.relay.do(relays.Harm.REFUSED)

    def start(self) -> None:
        """Come back with nothing known, under the same id."""
        self.alive, self.listed, self.deaf = True, True, False
        self.draining_at = None
        self._born = round(time.time() * 1_000)
        self._sequence = self._seen_epoch = self._running = 0
        self._still_since = None
        self.relay.do(relays.Harm.NONE)
        self.tell()

    def drain(self) -> None:
        """Say that it is leaving."""
        self.draining_at = self._book.now
        self.tell()

    def stop_listening(self) -> None:
        """Take nothing new any more; its head does not either."""
        self.deaf = True
        self.unlist()
        self.relay.do(relays.Harm.REFUSED)

    def head_works(self) -> bool:
        """Tell whether the head of its group has requests that run."""
        held = self.group
        head = self._fleet.get(held.members[0]) if held else None
        return head is not None and head.is_with(held) and head._running > 0

    def unlist(self) -> None:
        """Let its entry lapse."""
        self.listed = False
        self._store.drop("servers", self.name)

    def is_with(self, group: Group) -> bool:
        """Tell whether it is still a member of a group.

        :param group: as its head knows it.
        """
        own = self.group
        here = own is not None and own.name == group.name
        return self.alive and here and own.epoch == group.epoch

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        expected = environ.get("HTTP_X_EXPECT_RUNNER")
        body = environ["wsgi.input"].read()
        number = environ.get("HTTP_X_ATTEMPT_ID", "")
        if expected not in (None, self.name):
            return self._not_run(start_response, 421, number)
        if path == "/v1/report":
            said = {"Staged": list(self._sizes), "born": self._born}
            return _json(
                start_response, 200, said | {"group": self._group_said()}
            )
        if path == "/v1/order":
            status = self._ordered(msgspec.json.decode(body))
            if status is None:
                return self._hang_up(environ)
            return _json(start_response, status, {})
        return self._serve(environ, start_response, body)

    def _group_said(self) -> dict[str, Any] | None:
        if self.group is None:
            return None
        state = "broken" if self._is_broken() else self.group.state
        held = self.group
        return {
            "Name": held.name,
            "epoch": held.epoch,
            "rank": held.rank,
            "State": state,
        }

    def _ordered(self, order: dict[str, Any]) -> int | None:
        if self.late and self._chance.random() < 0.5:
            delay = self._chance.uniform(1.0, 5.0)
            eventlet.spawn_after(delay, self._carry_out, order, self._life)
            return None
        return self._carry_out(order, self._life)

    def _carry_out(self, order: dict[str, Any], life: int) -> int:
        if life != self._life or not self.alive:
            return 409
        kind = order["Operation"]
        if kind == "join":
            return self._join(order)
        if kind == "Stage":
            return 200
        held = self.group
        place = order.get("group"), order.get("epoch")
        if held is None or (held.name, held.epoch) != place:
            return 409
        if kind == "leave":
            self.group = None
            self.tell()
            return 202
        if kind == "open":
            return self._open(held)
        if held.state in ("open", "closing"):
            self._close(held, order.get("CloseMode") == "preempt")
        return 202

    def _close(self, held: Group, at_once: bool) -> None:
        held.state = "ready" if at_once else "closing"
        held.is_preempted = at_once
        self.tell()
        if not at_once:
            eventlet.spawn(self._closed, held)

    def _closed(self, held: Group) -> None:
        while self._running:
            eventlet.sleep(0.02)
        if self.group is held and held.state == "closing" and self.alive:
            held.state = "ready"
            self.tell()

    def _open(self, held: Group) -> int:
        if held.state == "open":
            return 200
        if held.rank or held.state != "ready":
            return 409
        eventlet.spawn_after(_FORM, self._opened, held)
        return 202

    def _opened(self, held: Group) -> None:
        if self.group is held and held.state == "ready" and self.alive:
            held.state = "open"
            held.is_preempted = False
            self.tell()

    def _join(self, order: dict[str, Any]) -> int:
        epoch, members = order["epoch"], tuple(order["Members"])
        held = self.group
        if epoch < self._seen_epoch:
            return 412
        if held is not None and (held.name, held.epoch) == (
            order["group"],
            epoch,
        ):
            return 200 if held.members == members else 412
        self._look_at_old_head()
        self._seen_epoch = epoch
        self._sequence += 1
        rank = members.index(self.name)
        self.group = Group(order["group"], epoch, members, rank)
        eventlet.spawn_after(_JOIN, self._joined, self.group)
        self.tell()
        return 202

    def _joined(self, held: Group) -> None:
        if self.group is held and self.alive:
            held.state = "ready"
            self.tell()

    def _look_at_old_head(self) -> None:
        held = self.group
        if held is None:
            return
        head = self._fleet.get(held.members[0])
        serves = (
            head is not None
            and head is not self
            and head.is_with(held)
            and head.group.state in ("open", "closing")
            and not head._is_broken()
        )
        detail = f"{self.name} leaves {held.name} that its head serves"
        self._book.look("no runner is in two groups", not serves, detail)

    def _stands_still(self) -> bool:
        held = self.group
        others = [self._fleet[m] for m in held.members if m in self._fleet]
        whole = len(others) == len(held.members)
        whole = whole and all(other.is_with(held) for other in others)
        if whole:
            self._still_since = None
        elif self._still_since is None:
            self._still_since = time.monotonic()
        return not whole

    def _is_broken(self) -> bool:
        if self.group is None or self.group.rank:
            return False
        if self.group.state not in ("open", "closing", "broken"):
            return False
        if not self._stands_still():
            return False
        return time.monotonic() - self._still_since >= _STALL

    def _serve(self, environ, start_response, body) -> Iterable[bytes]:
        number = environ.get("HTTP_X_ATTEMPT_ID", "")
        if self._sizes:
            held = self.group
            if held is None or held.rank or held.state != "open":
                return self._not_run(start_response, 421, number)
            if any(self._fleet[m].deaf for m in held.members):
                return self._not_run(start_response, 503, number)
            until = time.monotonic() + _STALL
            while self._stands_still() or not self._serves(held):
                if time.monotonic() >= until or not self._serves(held):
                    return self._not_run(start_response, 503, number)
                eventlet.sleep(0.05)
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
            ),
            self.name,
        )
        if self._sizes:
            return self._stream(environ, start_response, number)
        eventlet.sleep(_WORK)
        if not self.alive or (self.loses and self._chance.random() < 0.3):
            return self._hang_up(environ)
        seal = f"{self.name}.{number}"
        data = msgspec.json.encode({"number": number, "by": self.name})
        start_response("200 OK", _head(number, seal, data))
        return [data]

    def _stream(self, environ, start_response, number) -> Iterable[bytes]:
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        count = int(environ["PATH_INFO"].rstrip("/").rpartition("/")[2])
        head = [("Content-Type", "text/event-stream")]
        head += _head(number, f"{self.name}.{number}")
        start_response("200 OK", head)
        held, life = self.group, self._life

        def events():
            self._running += 1
            try:
                yield from written()
            finally:
                self._running -= 1

        def written():
            for event in range(first, count + 1):
                eventlet.sleep(_GAP)
                while self.group is held and self._stands_still():
                    eventlet.sleep(0.05)
                gone = life != self._life or self.group is not held
                if gone or held.is_preempted:
                    raise ConnectionResetError("the runner is gone")
                yield b"id: %d\ndata: %s-%d\n\n" % (
                    event,
                    number.encode(),
                    event,
                )

        return events()

    def _serves(self, held: Group) -> bool:
        return self.is_with(held) and held.state in ("open", "closing")

    def _look_at_group(self, held: Group, model: str) -> None:
        size = self._sizes.get(model)
        detail = f"{held.name} with {len(held.members)} of {size} for {model}"
        whole = size == len(held.members)
        self._book.look("a group that serves is whole", whole, detail)
        ready = all(
            self._fleet[m].group.state != "joining" for m in held.members
        )
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
        self, start_response, status: int, number: str
    ) -> Iterable[bytes]:
        head = [("X-Not-Executed", "1"), ("At-Server", self.name)]
        head.append(("X-Attempt-Id", number))
        return _json(start_response, status, {}, head)

    def _hang_up(self, environ) -> Iterable[bytes]:
        environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
        return [b""]


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
