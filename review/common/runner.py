"""One runner of a model service or of a plain one, a process of its own.

It registers in the store, joins and opens groups as ordered, and answers
requests.  A request's path ends with the number of its events and the ms
between two of them, or for a plain service with the ms of its work.  Each run
is a line of the log file.
"""

import argparse
import asyncio
import contextlib
import json
import socket
import struct
import time

import wire

#: Seconds of a join of the model of before, of another one from the host, of a
#: load, and of an opening.
_JOIN, _WARM, _LOAD, _FORM = 0.2, 1.6, 16.0, 0.3
_HEARTBEAT = 1.2

#: Bytes from which a body is long, and seconds between the halves of an answer
#: that begins before it is read.
_LONG, _PAUSE = 1_000_000, 0.3

#: The event before which a stream hangs, and for how many seconds by turns.
_HANGS_AT, _HANG = 11, (0.5, 0.55, 0.6, 0.65)

#: Of five answers, those whose channels a runner resets.
_RESET = (1, 3)

#: Bytes that the kernel takes in of what is not read: links have small windows.
_RECEIVE_BUFFER = 65_536


class Runner:
    def __init__(self, given):
        self.given = given
        self.group = None
        self.seen_epoch = 0
        self.sequence = 0
        self.orders = 0
        self.running = 0
        self.born = round(time.time() * 1_000)
        self.is_draining = False
        self.last_model = ""
        self.staged = given.models.split(",") if given.staged else []
        self.is_late = False
        self.late_orders = []
        self.long_answers = self.streams = 0
        self.log = open(given.log, "a", buffering=1)

    def note(self, what, **facts):
        facts = {"at": round(time.time(), 3), "runner": self.given.id} | facts
        print(json.dumps({"what": what} | facts), file=self.log)

    def said_group(self):
        if self.group is None:
            return None
        return {
            "Name": self.group["group"],
            "epoch": self.group["epoch"],
            "rank": self.group["rank"],
            "State": self.group["state"],
        }

    async def tell(self):
        self.sequence += 1
        entry = {
            "Service": self.given.service,
            "Address": self.given.address,
            "Zone": self.given.zone,
            "Version": "1",
            "Slots": self.given.slots,
            "State": "draining" if self.is_draining else "ready",
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.given.domain:
            entry |= {
                "Domain": self.given.domain,
                "Staged": self.staged,
                "Models": [],
                "group": self.said_group(),
            }
        with contextlib.suppress(OSError):
            said = {"Table": "servers", "Key": self.given.id, "Value": entry}
            await wire.post(self.given.store, "/put", said)

    async def beat(self):
        while True:
            await self.tell()
            await asyncio.sleep(_HEARTBEAT)

    def ordered(self, order):
        kind = order["Operation"]
        if kind == "join":
            return self.join(order)
        if kind == "Stage":
            return self.stage(order["Model"])
        held = self.group
        if held is None or (held["group"], held["epoch"]) != (
            order.get("group"),
            order.get("epoch"),
        ):
            return 409
        if kind == "leave":
            self.note("leaves", group=held["group"])
            self.group = None
        elif kind == "open":
            if held["state"] == "open":
                return 200
            if held["rank"] or held["state"] != "ready":
                return 409
            asyncio.create_task(self.become(held, "ready", "open", _FORM))
        elif held["state"] in ("open", "closing"):
            self.close(held, order.get("CloseMode") == "preempt")
        self.orders += 1
        asyncio.create_task(self.tell())
        return 202

    def close(self, held, at_once):
        held["state"] = "ready" if at_once else "closing"
        self.note("group state", **self.said_group())
        if not at_once:
            asyncio.create_task(self.finish_closing(held))

    async def finish_closing(self, held):
        while self.running:
            await asyncio.sleep(0.02)
        await self.become(held, "closing", "ready", 0)

    def stage(self, model):
        if model in self.staged:
            return 200
        self.note("stages", model=model)
        asyncio.create_task(self.load(model))
        return 202

    async def load(self, model):
        await asyncio.sleep(_LOAD)
        self.staged = [model]
        await self.tell()

    def control(self, said):
        """Do what the case asks; return the orders without an answer."""
        if "late" in said:
            self.is_late = said["late"]
        if said.get("drain"):
            self.is_draining = True
            self.note("reports draining")
            asyncio.create_task(self.tell())
        for _ in range(said.get("carry_out", 0)):
            received_at, order = self.late_orders.pop(0)
            late = round(time.time() - received_at, 3)
            status = self.ordered(order)
            self.note(
                "late order carried out",
                operation=order["Operation"],
                group=order.get("group"),
                late_s=late,
                status=status,
            )
        return [
            {"at": at, "group": order.get("group")}
            for at, order in self.late_orders
        ]

    def join(self, order):
        if order["epoch"] < self.seen_epoch:
            return 412
        held = self.group
        place = order["group"], order["epoch"]
        if held is not None and (held["group"], held["epoch"]) == place:
            return 200 if held["Members"] == order["Members"] else 412
        self.note(
            "joins",
            group=order["group"],
            epoch=order["epoch"],
            members=order["Members"],
            before=self.said_group(),
        )
        self.seen_epoch = order["epoch"]
        self.orders += 1
        rank = order["Members"].index(self.given.id)
        self.group = order | {"rank": rank, "state": "joining"}
        span = _JOIN if order["Model"] == self.last_model else _WARM
        self.last_model = order["Model"]
        asyncio.create_task(self.become(self.group, "joining", "ready", span))
        asyncio.create_task(self.tell())
        return 202

    async def become(self, held, before, after, seconds):
        await asyncio.sleep(seconds)
        if self.group is held and held["state"] == before:
            held["state"] = after
            self.note("group state", **self.said_group())
            await self.tell()

    def report(self):
        return {
            "Stage": "both",
            "Models": [],
            "Busy": False,
            "Sequence": self.orders,
            "Queued": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 1_235_000,
            "Handles": 0,
            "Staged": self.staged,
            "Domain": self.given.domain,
            "group": self.said_group(),
            "born": self.born,
        }

    async def serve(self, reader, writer):
        try:
            if self.given.early:
                await self.serve_early(reader, writer)
                return
            while (asked := await wire.read_request(reader)) is not None:
                if not await self.answer(reader, writer, *asked):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer, method, target, headers, body):
        number = headers.get("x-attempt-id", "")
        own = [("X-Attempt-Id", number)]
        not_run = [*own, ("X-Not-Executed", "1")]
        if headers.get("x-expect-runner") not in (None, self.given.id):
            writer.write(wire.response(421, {}, not_run))
        elif target == "/v1/report":
            writer.write(wire.response(200, self.report()))
        elif target == "/v1/order":
            order = json.loads(body)
            if self.is_late and order["Operation"] == "join":
                self.late_orders.append((time.time(), order))
                self.note("order without an answer", **order)
                return True
            writer.write(wire.response(self.ordered(order), {}))
        elif target == "/control":
            writer.write(wire.response(200, self.control(json.loads(body))))
        elif target == "/health":
            writer.write(
                wire.response(200, {}, [("X-Runner-Id", self.given.id)])
            )
        elif self.given.domain and not self.is_open_head():
            writer.write(wire.response(421, {}, not_run))
        elif self.running >= self.given.slots:
            writer.write(wire.response(503, {}, not_run))
        else:
            return await self.run(writer, target, headers, number)
        await writer.drain()
        return True

    async def serve_early(self, reader, writer):
        """Serve one request; answer a long one before its body is read."""
        asked = await wire.read_head(reader)
        if asked is None:
            return
        method, target, headers = asked
        size = int(headers.get("content-length", 0))
        if size < _LONG:
            body = await reader.readexactly(size)
            await self.answer(reader, writer, method, target, headers, body)
            return
        number = headers.get("x-attempt-id", "")
        self.note("run begins", request=number, path=target, body=size)
        head = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {number}",
            f"X-Runner-Seal: {self.given.id}.{number}",
            "Connection: close",
            "",
            "",
        ]
        whole = whole_answer(number)
        half = len(whole) // 2
        writer.write("\r\n".join(head).encode() + whole[:half])
        await writer.drain()
        await asyncio.sleep(_PAUSE)
        self.long_answers += 1
        if self.given.resets and self.long_answers % 5 in _RESET:
            self.note("channel reset", request=number, sent=half)
            reset(writer)
            return
        await reader.readexactly(size)
        writer.write(whole[half:])
        await writer.drain()
        self.note("run ended", request=number)

    def is_open_head(self):
        return self.group is not None and self.group["state"] == "open"

    async def run(self, writer, target, headers, number):
        self.note(
            "run begins",
            request=number,
            path=target,
            tenant=headers.get("x-tenant"),
            after=headers.get("last-event-id"),
        )
        self.running += 1
        try:
            if self.given.domain:
                return await self.stream(writer, target, headers, number)
            await asyncio.sleep(int(target.rpartition("/")[2]) / 1_000)
            seal = ("X-Runner-Seal", f"{self.given.id}.{number}")
            said = {"request": number, "by": self.given.id}
            writer.write(
                wire.response(200, said, [("X-Attempt-Id", number), seal])
            )
            await writer.drain()
            self.note("run ended", request=number)
            return True
        except OSError as error:
            self.note("run cut", request=number, why=repr(error))
            raise
        finally:
            self.running -= 1

    async def stream(self, writer, target, headers, number):
        *_, count, gap = target.split("/")
        held = self.group
        is_framed = not self.given.unframed
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Attempt-Id: {number}",
            f"X-Runner-Seal: {self.given.id}.{number}",
            "Transfer-Encoding: chunked" if is_framed else "Connection: close",
            "",
            "",
        ]
        writer.write("\r\n".join(head).encode())
        first = int(headers.get("last-event-id") or 0) + 1
        self.streams += 1
        hangs = self.given.hangs and self.streams % 5 in _RESET
        await asyncio.sleep(self.given.first / 1_000)
        for turn in range(first, int(count) + 1):
            await asyncio.sleep(int(gap) / 1_000)
            if hangs and turn == _HANGS_AT:
                await asyncio.sleep(_HANG[self.streams % len(_HANG)])
                self.note("channel reset", request=number, sent=turn - 1)
                reset(writer)
                return False
            if writer.is_closing() or self.group is not held:
                raise ConnectionResetError("the channel or group is gone")
            if held["state"] not in ("open", "closing"):
                raise ConnectionResetError("the group was closed at once")
            data = event(number, turn)
            writer.write(
                b"%x\r\n%b\r\n" % (len(data), data) if is_framed else data
            )
            await writer.drain()
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.note("run ended", request=number)
        return is_framed


def reset(writer):
    """Close a channel with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def whole_answer(number):
    """Return the answer to a long request."""
    return (f"{number} " * 48).encode()


def event(number, turn):
    """Return one event of a stream."""
    return f"id: {turn}\ndata: {number}-{turn}\n\n".encode()


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "store", "address", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--domain", default="")
    parser.add_argument("--models", default="")
    parser.add_argument("--slots", type=int, default=13)
    parser.add_argument("--staged", action="store_true")
    parser.add_argument("--early", action="store_true")
    parser.add_argument("--resets", action="store_true")
    parser.add_argument("--hangs", action="store_true")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--unframed", action="store_true")
    runner = Runner(parser.parse_args())
    host, _, port = runner.given.address.rpartition(":")
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
    listening.bind((host, int(port)))
    server = await asyncio.start_server(runner.serve, sock=listening)
    runner.note("started")
    async with server:
        await runner.beat()


if __name__ == "__main__":
    asyncio.run(main())
