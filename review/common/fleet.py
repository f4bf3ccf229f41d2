"""A small deployment on loopback addresses: store, runners and daemons."""

import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.request

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parent.parent
HOST = "ficu95.example"
KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"
MODEL, SIZE = "daka510000", 2
LLM, DESK = "huvo11a", "wuno96b"
GRACE = 8

_ENGINE = {
    "Slots": 13,
    "KvCapacity": 1_235_000,
    "Stride": 6,
    "Models": [
        {
            "Name": MODEL,
            "size": SIZE,
            "Share": 1.0,
            "pace": 1.0,
            "LoadS": 16.0,
            "WarmupS": 1.6,
        }
    ],
    "step_ms": 6.45,
    "per_seq_ms": 0.1934,
    "context_per_k": 0.00586,
    "read_per_s": 56_100.0,
    "pairs_per_m": 0.309,
    "chunk": 2_048,
    "report_lag_ms": 200.0,
    "LoadsPerS": 5.5,
    "loads_at_once": 8,
    "usual": {"prompt": 1_115, "answer": 152},
    "CachedPrefixes": 1,
    "far_x": 2.5,
    "FormMs": 300.0,
}

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-stream",
            "Host": HOST,
            "Prefix": "/lohu930/",
            "Kind": "streaming",
            "TimeoutMs": 8_000,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "Service": LLM,
            "MaxAttempts": 2,
            "Public": False,
            "SessionAffinity": True,
            "StreamResume": True,
            "TargetGapMs": 250,
        },
        {
            "Name": "r-unsafe",
            "Host": HOST,
            "Prefix": "/puxa403/",
            "Kind": "unsafe",
            "TimeoutMs": 3_000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": DESK,
            "MaxAttempts": 1,
            "Public": False,
        },
        {
            "Name": "r-safe",
            "Host": HOST,
            "Prefix": "/qile511/",
            "Kind": "safe",
            "TimeoutMs": 3_000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": DESK,
            "MaxAttempts": 2,
            "Public": False,
        },
    ],
    "Services": [
        {
            "Name": LLM,
            "HealthPath": "/health",
            "MaxConnections": 384,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
            "Engine": _ENGINE,
        },
        {
            "Name": DESK,
            "HealthPath": "/health",
            "MaxConnections": 51,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
        },
    ],
    "Limits": {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 4_194_304,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    },
    "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
}

_BOUNDS = {
    "SeedLagS": 3,
    "AddressReuseS": 2,
    "StableWindowMs": 3_000,
    "AckMs": 4_000,
    "CatchUpS": 4,
    "DrainMs": 2_000,
    "GraceS": GRACE,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2_000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5_000,
    "FailClosed": False,
    "RevokeMs": 5_000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 130,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuationMs": 5_000,
    "RecoveryS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "StallMs": 4_000,
    "RequireFencing": False,
    "CeilingWindowS": 5,
    "OriginRateOverage": 1.1,
}


class CantRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with s from the start.

    :param path: the file that takes it.
    """

    def __init__(self, path):
        self.began = time.time()
        self._path = path
        self._lines = []

    def note(self, text, at=None):
        self._lines.append((at or time.time(), text))

    def close(self):
        with open(self._path, "w") as file:
            for at, text in sorted(self._lines):
                print(f"{at - self.began:8.3f} s  {text}", file=file)


class Process:
    def __init__(self, name, arguments, log, env=None):
        self.name = name
        self._arguments, self._log, self._env = arguments, log, env
        self.start()

    def start(self):
        with open(self._log, "ab") as log:
            self.child = subprocess.Popen(
                self._arguments,
                cwd=ROOT,
                env=self._env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        self.child.send_signal(number)

    def end(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


class Fleet:
    """All processes of a case; ``close`` ends them."""

    def __init__(self, record):
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.runs_log = self.folder / "runs.jsonl"
        self.processes = []
        self.front_by_daemon = {}
        self.address_by_runner = {}
        self.process_by_name = {}
        self.store = f"127.0.0.1:{free_port()}"
        self._start(
            "store",
            [sys.executable, HERE / "store.py", self.store.split(":")[1]],
        )
        wait_for(lambda: is_open(self.store), 10, "the store")

    def _start(self, name, arguments, env=None):
        log = self.folder / f"{name}.log"
        arguments = [str(each) for each in arguments]
        process = Process(name, arguments, log, env)
        self.processes.append(process)
        self.process_by_name[name] = process
        return process

    def put(self, table, key, value):
        said = {"Table": table, "Key": key, "Value": value}
        asked = urllib.request.Request(
            f"http://{self.store}/put", json.dumps(said).encode()
        )
        urllib.request.urlopen(asked, timeout=5).read()

    def add_runner(self, name, service, zone, *more):
        address = f"127.0.0.1:{free_port()}"
        arguments = [sys.executable, HERE / "runner.py"]
        arguments += ["--id", name, "--service", service, "--zone", zone]
        arguments += ["--store", self.store, "--address", address]
        arguments += ["--log", self.runs_log, *more]
        self.address_by_runner[name] = address
        return self._start(name, arguments)

    def add_model_runners(self, zone, count, *more):
        for number in range(count):
            self.add_runner(
                f"i-{zone}-{number}",
                LLM,
                zone,
                *("--domain", "1", "--models", MODEL, "--staged"),
                *more,
            )

    def add_daemon(self, number, zone, zones):
        """Start a daemon with the command of the deploy file."""
        name, ip = f"front-{zone}-{number}", f"127.0.0.{10 + number}"
        ports = [free_port() for _ in range(4)]
        settings = {
            "NodeName": name,
            "Role": "daemon",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": ip,
            "Zone": zone,
            "Region": "doto",
            "Zones": dict.fromkeys(zones, "doto"),
            "Listen": {
                "Front": f"{ip}:{ports[0]}",
                "Ready": f"{ip}:{ports[1]}",
            },
            "InternalPorts": sorted(ports[2:]),
            "Seeds": [],
            "Bootstrap": True,
            "FaultCounted": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4_100,
                "LinkMbps": 1_000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1_200,
            "Contracts": [
                *("base", "drain", "config", "cost", "retry", "recover"),
                *("engine", "stream", "tenants", "places", "platform"),
                "gangs",
            ],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": _BOUNDS,
            "Platform": {
                "Address": self.store,
                "form": "table",
                "WritesPerS": 400,
                "ReadsPerS": 2_000,
                "TxMs": 5.0,
                "PartWritesS": 200,
                "RowBytes": 65_536,
                "Across": False,
                "HistoryS": 20,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {
            "CITRONVALVE_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self._start(name, ["python3", "platform/serve.py"], env)
        self.front_by_daemon[name] = settings["Listen"]["Front"]
        ready = settings["Listen"]["Ready"]
        wait_for(lambda: is_ready(ready), 20, name)
        return name

    def set_bootstrap(self, name, value):
        """Write whether the whole system starts for the first time."""
        self._change(name, lambda settings: settings.update(Bootstrap=value))

    def change_slack(self, name, value):
        """Write another bound on repeats."""

        def change(settings):
            settings["Bounds"]["RetryBudgetSlack"] = value

        self._change(name, change)

    def _change(self, name, change):
        path = self.folder / f"{name}.json"
        settings = json.loads(path.read_text())
        change(settings)
        written = path.with_suffix(".new")
        written.write_text(json.dumps(settings))
        written.replace(path)

    def control(self, runner, **said):
        """Ask a runner for misbehaviour; return its orders without answer."""
        asked = urllib.request.Request(
            f"http://{self.address_by_runner[runner]}/control",
            json.dumps(said).encode(),
        )
        return json.load(urllib.request.urlopen(asked, timeout=5))

    def rows(self, table):
        """Return the values of a table of the store by key."""
        url = f"http://{self.store}/v1/rows-get?Table={table}&part="
        said = json.load(urllib.request.urlopen(url, timeout=5))
        return {
            row["Key"]: json.loads(base64.b64decode(row["Value"]))
            for row in said["Rows"]
        }

    def leader(self):
        """Return the daemon that leads the groups, by the store."""
        row = self.rows("citronvalve").get("leader")
        return row["holder"] if row else ""

    def open_heads(self):
        """Return the runners that are open heads, by the store."""
        return [
            name
            for name, entry in self.rows("servers").items()
            if (entry.get("group") or {}).get("State") == "open"
        ]

    def runs(self):
        """Return what the runners noted."""
        if not self.runs_log.exists():
            return []
        lines = self.runs_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def close(self):
        for run in self.runs():
            facts = {k: v for k, v in run.items() if k not in ("at", "what")}
            self.record.note(f"{run['what']}: {facts}", run["at"])
        for process in self.processes:
            process.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder)
        self.record.close()


def run_case(play, is_troubled, record):
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it failed.

    :param play: called with the fleet and whether there is trouble; returns
        whether the rule was broken.
    :param is_troubled: whether the disruption takes place.
    :param record: path of the file that takes what was sent, answered and run.
    """
    # So that its processes end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    fleet = None
    try:
        fleet = Fleet(record)
        return int(play(fleet, is_troubled))
    except Exception:
        # Not only what is expected to fail: an error of the case itself must
        # not pass for a broken rule.
        traceback.print_exc()
        return 2
    finally:
        if fleet is not None:
            fleet.close()


def free_port():
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return held.getsockname()[1]


def is_open(address):
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True


def is_ready(address):
    try:
        url = f"http://{address}/v1/ready"
        return urllib.request.urlopen(url, timeout=1).status == 200
    except OSError:
        return False


def wait_for(condition, seconds, what):
    end = time.time() + seconds
    while not condition():
        if time.time() > end:
            raise CantRunError(f"{what} is not there after {seconds} s")
        time.sleep(0.05)


def request(method, path, number, deadline, more=(), body=b""):
    """Return the bytes of a request."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {number}",
        f"X-Deadline-Ms: {deadline}",
        f"X-Api-Key: {KEY}",
        *more,
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(head).encode() + body


def stream_request(number, count, gap, deadline=8_000):
    """Return the bytes of a request for a stream."""
    tokens = [
        f"X-Model: {MODEL}",
        f"X-Token-Usage: 400,{6 * count}",
        f"X-Prompt-Prefix: 5c1e07a2:40,{number[:8]}:360",
    ]
    path = f"/lohu930/{count}/{gap}"
    return request("POST", path, number, deadline, tokens)


class Answer:
    """What a requester read: status, headers, body, and how it ended.

    ``end`` is ``complete``, or else what cut the answer.
    """

    def __init__(self, status, headers, body, end):
        self.status, self.headers = status, headers
        self.body, self.end = body, end

    def __str__(self):
        events = self.body.count(b"\n\n")
        return (
            f"status {self.status}, {len(self.body)} bytes, {events} events, "
            f"{self.end}"
        )


def read_answer(sock, timeout=15):
    """Read one answer from a socket, framed as its head says."""
    sock.settimeout(timeout)
    file = sock.makefile("rb")
    status, headers, body = 0, {}, b""
    try:
        line = file.readline()
        if not line:
            return Answer(0, {}, b"", "closed without an answer")
        status = int(line.split()[1])
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        if "content-length" in headers:
            size = int(headers["content-length"])
            body = file.read(size)
            whole = len(body) == size
            return Answer(
                status, headers, body, "complete" if whole else "cut"
            )
        while True:
            line = file.readline()
            if not line:
                return Answer(status, headers, body, "cut: closed")
            size = int(line, 16)
            data = file.read(size + 2)
            if not size:
                return Answer(status, headers, body, "complete")
            body += data[:size]
    except OSError as error:
        return Answer(status, headers, body, f"cut: {error!r}")


def expected_body(number, count):
    """Return the whole body of a stream."""
    return b"".join(
        f"id: {turn}\ndata: {number}-{turn}\n\n".encode()
        for turn in range(1, count + 1)
    )


def connect(address):
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
