"""A small deployment on loopback: store, runners, daemons and clients.

Store and runners run in this process on asyncio and follow PROTOCOL.md; the
daemons are processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
#: Heartbeats of runners, as ``HeartbeatMs`` of DEPLOY.md.
HEARTBEAT = 1.2


class Record:
    """The file with what was sent, answered and run.

    :param path: of the file, which is written anew.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()
        self.broken: list[str] = []

    @property
    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self._zero

    def write(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def broke(self, text: str) -> None:
        """Write that the rule was broken."""
        self.broken.append(text)
        self.write(f"RULE BROKEN: {text}")


#: Sockets that keep the ports that this process was given.
_KEPT: list[socket.socket] = []


def free_port() -> int:
    """Return a port that nothing listens at, and keep it for this process.

    It lies below those that the kernel gives to connections, which could
    take it while a daemon is down. A socket that is bound to it and does not
    listen keeps scripts that run side by side from taking the same.
    """
    while True:
        port = random.randrange(10_000, 32_000)
        kept = socket.socket()
        try:
            kept.bind((HOST, port))
        except OSError:
            kept.close()
            continue
        # Now whoever asks for the reuse of addresses may listen there.
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _KEPT.append(kept)
        return port


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return first line and headers, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


async def read_request(reader: asyncio.StreamReader):
    """Return method, target, headers and body, None at the end."""
    found = await read_head(reader)
    if found is None:
        return None
    method, target, _ = found[0].split(" ")
    length = int(found[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, found[1], body


async def read_body(
    reader: asyncio.StreamReader, head: dict[str, str]
) -> tuple[bytes, bool]:
    """Return the body of a response, and whether it came to its end."""
    body = b""
    try:
        if "content-length" in head:
            return await reader.readexactly(int(head["content-length"])), True
        while size := int((await reader.readuntil(b"\r\n")), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
    return body, True


def response(status: int, body: bytes, head: dict[str, str] | None = None):
    """Return the bytes of a response."""
    fields = {"Content-Length": str(len(body))} | (head or {})
    lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
    return f"HTTP/1.1 {status} -\r\n{lines}\r\n".encode() + body


def as_json(status: int, value) -> bytes:
    """Return the bytes of a response with JSON."""
    head = {"Content-Type": "application/json"}
    return response(status, json.dumps(value).encode(), head)


class Store:
    """The platform's store: rows, their feed and transactions."""

    def __init__(self) -> None:
        self.port = 0
        self._version = 1
        self._rows: dict[tuple[str, str], dict] = {}
        self._changes: list[dict] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value) -> None:
        """Write a row as the operator or a runner does."""
        self._version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(table, key, data)

    def value(self, table: str, key: str):
        """Return the value of a row, None if there is none."""
        row = self._rows.get((table, key))
        return row and json.loads(base64.b64decode(row["Value"]))

    def _set(self, table: str, key: str, data: str) -> None:
        row = {"Table": table, "part": "", "Key": key, "Value": data}
        row["RowVersion"] = self._version
        self._rows[table, key] = row
        self._tell(row)

    def _tell(self, change: dict) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _said(self, found: list[dict], more: bool = False) -> bytes:
        value = {"Rows": found, "HasMore": more, "RowVersion": self._version}
        value["NowMs"] = round(time.monotonic() * 1_000)
        return as_json(200, value)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (asked := await read_request(reader)) is not None:
                path, _, query = asked[1].partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                # An answer takes 4 ms.
                await asyncio.sleep(0.004)
                writer.write(await self._answer(path, fields, asked[3]))
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, fields: dict, body: bytes) -> bytes:
        if path == "/v1/rows-get":
            start, end = fields.get("From", ""), fields.get("To")
            found = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == fields["Table"]
                and key >= start
                and (end is None or key < end)
            ]
            limit = min(500, int(fields.get("Limit", 500)))
            return self._said(found[:limit], len(found) > limit)
        if path == "/v1/rows-feed":
            return await self._feed(fields)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        return as_json(404, {})

    async def _feed(self, fields: dict) -> bytes:
        after = int(fields["After"])
        until = time.monotonic() + int(fields.get("WaitMs", 0)) / 1_000
        while True:
            found = [
                change
                for change in self._changes
                if change["RowVersion"] > after
                and change["Table"] == fields["Table"]
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return self._said(found)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, asked: dict) -> bytes:
        for wanted in asked.get("Expected", ()):
            row = self._rows.get((wanted["Table"], wanted["Key"]))
            if (row["RowVersion"] if row else 0) != wanted["RowVersion"]:
                return as_json(412, {"Rows": [row] if row else []})
        self._version += 1
        for write in asked.get("Writes", ()):
            self._set(write["Table"], write["Key"], write["Value"])
        for gone in asked.get("Remove", ()):
            key = gone["Table"], gone["Key"]
            if self._rows.pop(key, None) is not None:
                self._tell(gone | {"RowVersion": self._version, "Removed": 1})
        return self._said([])


class Daemon:
    """A daemon process that can be signalled and started again.

    :param name: of the machine.
    :param zone: where it stands.
    :param store: port of the store.
    :param folder: takes settings and output.
    """

    def __init__(
        self, name: str, zone: str, store: int, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.front, self.ready = free_port(), free_port()
        self._peers = sorted((free_port(), free_port()))
        self._zone, self._store, self._folder = zone, store, folder
        self._first = True
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> None:
        """Write the settings file, as the platform does."""
        value = {
            "NodeName": self.name,
            "Role": "daemon",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": HOST,
            "Zone": self._zone,
            "Region": "here",
            "Zones": {self._zone: "here"},
            "Listen": {
                "Front": f"{HOST}:{self.front}",
                "Ready": f"{HOST}:{self.ready}",
            },
            "InternalPorts": self._peers,
            "Bootstrap": self._first,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "HeartbeatMs": round(HEARTBEAT * 1_000),
            "Contracts": ["base", "drain", "config", "engine", "stream"],
            "Bounds": {
                "DrainMs": 2000,
                "GraceS": 8,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "RetryBudgetSlack": 134,
                "ColdOverage": 1.5,
                "ColdSlack": 5,
                "StallMs": 4000,
            },
            "Platform": {"Address": f"{HOST}:{self._store}", "form": "table"},
        }
        path = self._folder / f"{self.name}.json"
        written = path.with_suffix(".new")
        written.write_text(json.dumps(value))
        written.replace(path)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        self._first = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT / 'src'}:{ROOT}",
            "EVENTLET_NO_GREENDNS": "yes",
            "PYTHONDONTWRITEBYTECODE": "1",
            "CITRONVALVE_CONFIG": str(self._folder / f"{self.name}.json"),
        }
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/serve.py",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether it says that it can serve."""
        try:
            found = await asyncio.wait_for(self._ask_ready(), 1)
        except (OSError, TimeoutError):
            return False
        return found is not None and found[0].split(" ")[1] == "200"

    async def _ask_ready(self):
        reader, writer = await asyncio.open_connection(HOST, self.ready)
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return await read_head(reader)
        finally:
            writer.close()

    def output(self) -> str:
        """Return all that it wrote."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def describe(self, record: Record) -> None:
        """Record whether it runs, and the end of what it wrote."""
        code = self.process.returncode if self.process else None
        record.write(f"{self.name}: exit code {code}, {self.output()[-500:]}")

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def wait_until(
    is_true, seconds: float, record: Record, what: str
) -> bool:
    """Wait until a coroutine function returns true; return whether it did."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if await is_true():
            return True
        await asyncio.sleep(0.05)
    record.write(f"COULD NOT RUN: {what} within {seconds} s")
    return False


def run(record: Record, play, trouble: bool, seconds: float = 110) -> None:
    """Play a case, and exit with 1, 0 or 2.

    :param record: of the case.
    :param play: coroutine function of record, temporary folder and whether
        there is trouble; returns whether the case could run.
    :param trouble: whether the disruption comes.
    :param seconds: longest time.
    """
    record.write(f"with the disruption: {trouble}")
    with tempfile.TemporaryDirectory() as temporary:

        async def bounded() -> bool:
            # Whoever ends the script ends what it started, too.
            own = asyncio.current_task()
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, own.cancel)
            return await asyncio.wait_for(
                play(record, pathlib.Path(temporary), trouble), seconds
            )

        try:
            could_run = asyncio.run(bounded())
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"COULD NOT RUN: {error!r}")
            could_run = False
    if not could_run:
        sys.exit(2)
    record.write(f"broken {len(record.broken)} times")
    print(f"broken {len(record.broken)} times", *record.broken[:5], sep="\n")
    sys.exit(bool(record.broken))
