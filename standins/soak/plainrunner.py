"""A plain runner of the users' platform, as a process of its own.

    python -m standins.soak.plainrunner ADDRESS ID SEED

It says on its output what it has run.  Its answers come whole or in pieces,
sometimes before a request's body is read, and sometimes a second time; a
signal stops it wherever it is.
"""

import asyncio
import contextlib
import hashlib
import json
import random
import socket
import sys
import time
from typing import NamedTuple

#: Requests at once, and those that wait.
_SLOTS, _QUEUE = 3, 3

#: Shares of requests: turned away, and turned away before the body is read.
_AWAY, _EARLY = 0.2, 0.5

#: Shares of answers: lost with the connection, in pieces, sent a second time,
#: and the last on their connection.
_LOST, _PIECES, _TWICE, _LAST = 0.03, 0.1, 0.3, 0.03

#: Shortest and longest seconds of a run, between the pieces of an answer, and
#: until an answer comes a second time.
_WORK, _PAUSE, _LATE = (0.01, 0.15), (0.0, 0.05), (0.0, 0.1)

_NOT_RUN = "X-Not-Executed: 1\r\n"


class _Request(NamedTuple):
    """The head of a request."""

    path: str
    field_by_name: dict[str, str]

    @property
    def id(self) -> str:
        """Return the id of the caller's attempt."""
        return self.field_by_name.get("x-attempt-id", "")


class PlainRunner:
    """Serves requests on any number of connections.

    :param name: its id.
    :param chance: for misbehaviour.
    """

    def __init__(self, name: str, chance: random.Random) -> None:
        self._name, self._chance = name, chance
        self._slots = asyncio.Semaphore(_SLOTS)
        self._held = 0
        self._late: set[asyncio.Task] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection.

        :param reader: of the connection.
        :param writer: of the connection.
        """
        gone = (OSError, asyncio.IncompleteReadError)
        with contextlib.suppress(*gone):
            lock = asyncio.Lock()
            while await self._one(reader, writer, lock):
                pass
        writer.close()

    async def _one(self, reader, writer, lock) -> bool:
        request = _parse(await reader.readuntil(b"\r\n\r\n"))
        length = int(request.field_by_name.get("content-length", 0))
        status = self._find_refusal(request)
        is_early = bool(status) and self._chance.random() < _EARLY
        if is_early:
            await self._answer(writer, lock, request, status)
        body = await reader.readexactly(length)
        if is_early:
            return True
        if status:
            return await self._answer(writer, lock, request, status)
        return await self._run(writer, lock, request, body)

    def _find_refusal(self, request: _Request) -> int:
        expected = request.field_by_name.get("x-expect-runner", self._name)
        if expected != self._name:
            return 421
        is_full = self._held >= _SLOTS + _QUEUE
        return 503 if is_full or self._chance.random() < _AWAY else 0

    async def _run(self, writer, lock, request, body) -> bool:
        self._held += 1
        try:
            async with self._slots:
                self._tell(request, body)
                await asyncio.sleep(self._chance.uniform(*_WORK))
        finally:
            self._held -= 1
        if self._chance.random() < _LOST:
            return False
        return await self._answer(writer, lock, request, 200)

    def _tell(self, request: _Request, body: bytes) -> None:
        said = {
            "ran": request.id,
            "by": self._name,
            "at": time.monotonic(),
            "path": request.path,
            "digest": hashlib.sha256(body).hexdigest(),
            "team": request.field_by_name.get("x-tenant", ""),
            "key": request.field_by_name.get("x-api-key", ""),
        }
        print(json.dumps(said), flush=True)

    async def _answer(self, writer, lock, request, status) -> bool:
        content = json.dumps({"number": request.id, "by": self._name})
        is_last = self._chance.random() < _LAST
        answer = (
            f"HTTP/1.1 {status} -\r\nX-Attempt-Id: {request.id}\r\n"
            f"X-Runner-Seal: {self._name}.{request.id}\r\n"
            f"{'' if status == 200 else _NOT_RUN}"
            f"{'Connection: close' + chr(13) + chr(10) if is_last else ''}"
            f"Content-Length: {len(content)}\r\n\r\n{content}"
        ).encode()
        if not is_last and self._chance.random() < _TWICE:
            delay = self._chance.uniform(*_LATE)
            late = asyncio.create_task(_send_late(writer, lock, answer, delay))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
        await self._send(writer, lock, answer)
        return not is_last

    async def _send(self, writer, lock, answer: bytes) -> None:
        async with lock:
            if self._chance.random() < _PIECES:
                cut = self._chance.randrange(len(answer))
                writer.write(answer[:cut])
                await asyncio.sleep(self._chance.uniform(*_PAUSE))
                answer = answer[cut:]
            writer.write(answer)
            await writer.drain()


async def _send_late(writer, lock, answer: bytes, delay: float) -> None:
    await asyncio.sleep(delay)
    with contextlib.suppress(OSError, RuntimeError):
        async with lock:
            writer.write(answer)
            await writer.drain()


def _parse(head: bytes) -> _Request:
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return _Request(
        first.split(" ")[1],
        {name.lower(): value.strip() for name, _, value in pairs},
    )


async def _main(address: str, name: str, seed: str) -> None:
    host, _, port = address.rpartition(":")
    runner = PlainRunner(name, random.Random(seed))
    listener = socket.create_server((host, int(port)), backlog=256)
    server = await asyncio.start_server(runner.serve, sock=listener)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:4]))
