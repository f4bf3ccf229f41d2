"""Runners as PROTOCOL.md describes them, with groups and streams."""

import asyncio
import contextlib
import json
import time

import bed

_JOIN, _JOIN_STAGED, _FORM, _STALL = 0.2, 0.6, 0.3, 4.0
_GAP = 0.1


class Group:
    """One membership of a runner."""

    def __init__(self, name: str, epoch: int, members: tuple) -> None:
        self.name, self.epoch, self.members = name, epoch, members
        self.state = "joining"

    @property
    def key(self) -> tuple:
        """Return what names it."""
        return self.name, self.epoch, self.members


class ModelRunner:
    """A model runner.

    :param name: its id.
    :param service: its service.
    :param zone: where it stands.
    :param model: the model that is staged on its host.
    :param fleet: all runners by id; it adds itself.
    :param store: takes its entry.
    :param record: of the case.
    """

    def __init__(self, name, service, zone, model, fleet, store, record):
        self.name, self._service, self._zone = name, service, zone
        self._model, self._fleet, self._store = model, fleet, store
        self._record = record
        self._born = round(time.time() * 1_000)
        self._sequence = self._beats = 0
        self._seen_epoch = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self.running: dict[str, asyncio.StreamWriter] = {}
        self.group: Group | None = None
        self.port = 0
        fleet[name] = self

    async def start(self) -> None:
        """Listen, and write the entry at each heartbeat."""
        server = await asyncio.start_server(self._serve, bed.HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.tell()
        asyncio.get_running_loop().create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(bed.HEARTBEAT)
            self.tell()

    def entry(self) -> dict:
        """Return its entry as it is now."""
        self._beats += 1
        value = {
            "Service": self._service,
            "Address": f"{bed.HOST}:{self.port}",
            "Zone": self._zone,
            "Version": "v1",
            "Slots": 13,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self._beats,
        }
        return value | self._about()

    def _about(self) -> dict:
        said = {
            "Stage": "both",
            "Models": [{"Name": self._model, "Version": 1, "Adapters": []}],
            "Domain": f"{self._zone}-d0",
            "Staged": [self._model],
            "born": self._born,
        }
        held = self.group
        if held is not None:
            said["group"] = {
                "Name": held.name,
                "epoch": held.epoch,
                "rank": held.members.index(self.name),
                "State": held.state,
            }
        return said

    def tell(self) -> None:
        """Write its entry."""
        self._store.put("servers", self.name, self.entry())

    def head(self) -> "ModelRunner | None":
        """Return the head of its group, if it is still in that group."""
        if self.group is None:
            return None
        head = self._fleet[self.group.members[0]]
        held = head.group
        return head if held and held.key == self.group.key else None

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (asked := await bed.read_request(reader)) is not None:
                await self._answer(writer, *asked)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, writer, method, target, head, body) -> None:
        if head.get("x-expect-runner", self.name) != self.name:
            writer.write(self._not_run(421, head))
        elif target == "/v1/report":
            counts = {"Busy": False, "Sequence": self._sequence, "pace": 1}
            counts |= {"Queued": 0, "Running": len(self.running)}
            counts |= {"KvUsed": 0, "KvTotal": 1235000, "Handles": 0}
            writer.write(bed.as_json(200, self._about() | counts))
        elif target == "/v1/order":
            order = json.loads(body)
            status = self._carry_out(order)
            self._record.write(f"{self.name} is ordered {order}: {status}")
            writer.write(bed.as_json(status, {}))
        else:
            await self._run(writer, target, head)

    def _not_run(self, status: int, head: dict) -> bytes:
        more = {"X-Not-Executed": "1", "At-Server": self.name}
        more["X-Attempt-Id"] = head.get("x-attempt-id", "")
        return bed.response(status, b"", more)

    def _carry_out(self, order: dict) -> int:
        kind = order["Operation"]
        if kind == "Stage":
            return 200
        if kind == "join":
            return self._join(order)
        held = self.group
        named = order.get("group"), order.get("epoch")
        if held is None or (held.name, held.epoch) != named:
            return 409
        self._sequence += 1
        if kind == "leave":
            self._end_streams("it leaves its group")
            self.group = None
            self.tell()
            return 202
        if held.members[0] != self.name:
            return 409
        if kind == "open":
            if held.state == "open":
                return 200
            if held.state != "ready":
                return 409
            self._later(_FORM, held, "ready", "open")
            return 202
        if held.state not in ("open", "closing"):
            return 200
        if order.get("CloseMode") == "preempt":
            self._end_streams("it is preempted")
            held.state = "ready"
        else:
            held.state = "closing"
            asyncio.get_running_loop().create_task(self._close(held))
        self.tell()
        return 202

    async def _close(self, held: Group) -> None:
        while self.running:
            await asyncio.sleep(0.02)
        if self.group is held and held.state == "closing":
            held.state = "ready"
            self.tell()

    def _join(self, order: dict) -> int:
        new = Group(order["group"], order["epoch"], tuple(order["Members"]))
        if new.epoch < self._seen_epoch:
            return 412
        held = self.group
        if held is not None and (held.name, held.epoch) == new.key[:2]:
            return 200 if held.members == new.members else 412
        self._look_at_old_group(new)
        is_resident = held is not None and held.name[:2] == new.name[:2]
        self._end_streams("it joins another group")
        self._seen_epoch, self.group = new.epoch, new
        self._sequence += 1
        wait = _JOIN if is_resident else _JOIN_STAGED
        self._later(wait, new, "joining", "ready")
        self.tell()
        return 202

    def _look_at_old_group(self, new: Group) -> None:
        head = self.head()
        if head is None or head.group.state not in ("open", "closing"):
            return
        self._record.broke(
            f"TWO: {self.name} takes a join of {new.name} while {head.name}, "
            f"the head of its group {self.group.name}, is "
            f"{head.group.state} and runs {len(head.running)} streams"
        )

    def _end_streams(self, why: str) -> None:
        for request, writer in list(self.running.items()):
            self._record.write(f"{self.name} ends {request}: {why}")
            writer.transport.abort()
        self.running.clear()

    def _later(self, wait: float, held: Group, before: str, after: str):
        def change() -> None:
            if self.group is held and held.state == before:
                held.state = after
                self._record.write(f"{self.name} is {after} in {held.name}")
                self.tell()

        asyncio.get_running_loop().call_later(wait, change)

    def _is_whole(self, held: Group) -> bool:
        """Return whether all members are still in a group."""
        groups = (self._fleet[one].group for one in held.members)
        return all(one and one.key == held.key for one in groups)

    async def _wait_whole(self, held: Group) -> None:
        """Stand still while a member is missing; break after StallMs."""
        until = time.monotonic() + _STALL
        while self.group is held and not self._is_whole(held):
            if time.monotonic() >= until and held.state != "broken":
                held.state = "broken"
                self._end_streams("its group is broken")
                self.tell()
            if held.state == "broken":
                return
            await asyncio.sleep(0.02)

    async def _run(self, writer, target: str, head: dict) -> None:
        held = self.group
        request = head.get("x-attempt-id", "")
        is_open = held is not None and held.state == "open"
        if not is_open or held.members[0] != self.name:
            writer.write(self._not_run(421, head))
            return
        first = int(head.get("last-event-id", "0")) + 1
        self._record.write(f"{self.name} runs {request} from event {first}")
        self.running[request] = writer
        fields = "Content-Type: text/event-stream\r\n"
        fields += f"X-Attempt-Id: {request}\r\n"
        fields += f"X-Runner-Seal: {self.name}.{request}\r\n"
        fields += "Transfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
        try:
            for number in range(first, int(target.rpartition("/")[2]) + 1):
                await asyncio.sleep(_GAP)
                await self._wait_whole(held)
                if self.running.get(request) is not writer:
                    return
                event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
        finally:
            # Its channel may have closed.
            is_own = self.running.get(request) is writer
            if is_own:
                del self.running[request]
        if is_own:
            writer.write(b"0\r\n\r\n")
