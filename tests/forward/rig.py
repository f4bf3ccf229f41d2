"""The forwarding path of one daemon in front of scripted runners."""

import random
import socket

import eventlet

from citronvalve.forward import acceptor
from citronvalve.forward import admission
from citronvalve.forward import connectionpool
from citronvalve.forward import connector
from citronvalve.forward import crashdetector
from citronvalve.forward import dependencies
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import forwarder
from citronvalve.forward import headernames
from citronvalve.forward import linkchecker
from citronvalve.forward import listcheck
from citronvalve.forward import needs
from citronvalve.forward import placement
from citronvalve.forward import poolrooms
from citronvalve.forward import retrybudgets
from citronvalve.forward import stalldetector
from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.policy import links
from citronvalve.policy import retrybudget
from citronvalve.policy import stopschedule
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import membership
from citronvalve.replicas import phase
from citronvalve.replicas import runner as runners
from citronvalve.routes import callerlimits
from citronvalve.routes import catalogue
from citronvalve.routes import keyholder
from citronvalve.routes import kind
from citronvalve.routes import route
from citronvalve.routes import service
from citronvalve.routes import share
from standins import scriptedrunner
from tests.replicas import world

LIMITS = callerlimits.CallerLimits(2_000, 10_000, 400, 2_000)


class RecordingLog(decisionlog.DecisionLog):
    """Records the events that are logged."""

    def __init__(self):
        self.lines = []

    def note(self, event, request="", **inputs):
        self.lines.append((event, {"request": request, **inputs}))

    def change(self, event, **inputs):
        self.lines.append((event, inputs))


class CuttableConnector(connector.Connector):
    """Opens no connection while ``refuses`` is set.

    ``receive_buffer`` is how many bytes the kernel holds unread, if set.
    """

    refuses = False
    receive_buffer = 0

    def _connect(self, sock, target, timeout):
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        if self.refuses:
            raise ConnectionRefusedError("the links are cut")
        super()._connect(sock, target, timeout)


class Rig:
    """A daemon with routes /once/, /any/ and /stream/ of host h.example."""

    def __init__(
        self,
        scripts,
        timeout=2_000,
        attempts=2,
        name="daemon-1",
        most=0,
        fair_shares=False,
    ):
        self.log = RecordingLog()
        self.limits = LIMITS
        self.env = environments.Environment(
            name,
            "zone-0",
            clock.SystemClock(),
            random.Random(7),
            self.log,
            headernames.HeaderNames(api_key=b"x-key"),
        )
        self._sent = 0
        self.directory = directories.Directory("zone-0")
        self.runners = {}
        for name, script in scripts.items():
            self._add_runner(name, script)
        self.directory.adopt(_catalogue(timeout, attempts))
        self.directory.list_known = True
        self.directory.confirmed_at = self.env.clock.now()
        self.loads = loads = upstreamchoice.LoadTable()
        limits = retrybudget.RetryLimits(0.2, 100, 10_000)
        self.stall_detector = stalldetector.StallDetector(self.env, loads)
        self.connector = CuttableConnector(self.env, links.Links("zone-0"))
        self.pool = pool = connectionpool.ConnectionPool(
            self.env.clock, self.connector
        )
        self.link_checker = linkchecker.LinkChecker(
            self.env, self.directory, self.connector, pool
        )
        self.connector.on_lost = self.link_checker.confirm
        self.stall_detector.is_lost = self.link_checker.is_lost
        self.stall_detector.is_doubted = self.link_checker.is_doubted
        self.retry_budgets = retrybudgets.RetryBudgets(self.env, limits)
        self.needs = needs.Needs(self.env, self.directory)
        self.limiter = self.needs.limiter
        self.rests = self.needs.rests
        self.leaving = self.needs.leaving
        deps = dependencies.Dependencies(
            self.env,
            self.directory,
            loads,
            self.connector,
            pool,
            placement.Placement(
                self.env,
                self.directory,
                loads,
                placement.ColdLimits(),
                self.needs,
                self._rooms() if fair_shares else None,
            ),
            self.retry_budgets,
            self.stall_detector,
            crashdetector.CrashDetector(self.env, pool, self.directory),
            self.needs,
            listcheck.ListCheck(self.env),
        )
        self.list_check = deps.list_check
        self.crash_detector = deps.crash_detector
        self.placement = deps.placement
        self.forwarder = forwarder.Forwarder(
            deps, admission.Admission(self.env, self.directory)
        )
        self.acceptor = acceptor.Acceptor(
            "127.0.0.1:0",
            self.env,
            lambda: self.limits,
            self.forwarder.handle,
            most,
        )
        self.acceptor.start()
        self._pauses = eventlet.spawn(self.env.pauses.run)

    @property
    def address(self):
        return self.acceptor.address

    def close(self):
        self._pauses.kill()
        self.acceptor.close()
        for one in self.runners.values():
            one.close()

    def send(
        self,
        path,
        headers="",
        method="POST",
        body=b"",
        seconds=3.0,
        key="secret",
        number="",
    ):
        """Send a request on a new connection; return all that is received.

        Requests without a number are req-1, req-2 and so on.
        """
        if not number:
            self._sent += 1
            number = f"req-{self._sent}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Key: {key}\r\n"
            f"X-Request-Id: {number}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n{headers}\r\n"
        ).encode()
        return scriptedrunner.exchange(self.address, head + body, seconds)

    def runs(self):
        return sum(one.runs for one in self.runners.values())

    def list_again(self, name, as_name):
        """List a runner under a second id, as one that started again is.

        The entry of its earlier start has not lapsed yet.
        """
        listed = self.directory.runner_by_id[name]
        self.directory.update_runner(listed._replace(id=as_name))

    def _rooms(self):
        return poolrooms.PoolRooms(self.env, self.directory, self.loads)

    def _add_runner(self, name, script):
        runner = scriptedrunner.ScriptedRunner(name, script)
        self.runners[name] = runner
        key = membership.GroupKey(f"large~{len(self.runners)}", 1)
        self.directory.update_runner(
            runners.Runner(
                name,
                "engine" if name.startswith("head") else "plain",
                runner.address,
                "zone-0",
                slots=6,
                membership=membership.Membership(key, 0, phase.Phase.OPEN),
                list_version=1,
            )
        )


def stop_listening(rig, grace=4_000):
    """Let a daemon that was asked to stop take no more connections."""
    now = rig.env.clock.now()
    schedule = stopschedule.plan(now, grace)
    early = schedule.listens_until - now
    rig.env.stop = stopschedule.plan(now - early, grace)


def _catalogue(timeout, attempts):
    kinds = {
        "once": kind.RequestKind.AT_MOST_ONCE,
        "any": kind.RequestKind.IDEMPOTENT,
        "stream": kind.RequestKind.STREAM,
    }
    routes = [
        route.Route(
            name,
            "h.example",
            f"/{name}/",
            of,
            (
                share.Share(
                    "engine" if name == "stream" else "plain",
                    1.0,
                ),
            ),
            timeout,
            100,
            attempts,
            resumable=name == "stream",
        )
        for name, of in kinds.items()
    ]
    services = {
        "engine": service.Service("engine", "/", 99, engine=world.spec()),
        "plain": service.Service("plain", "/", 99),
    }
    return catalogue.Catalogue(
        1,
        {(r.host, r.prefix): r for r in routes},
        services,
        {
            "secret": keyholder.KeyHolder("team-1"),
            "second": keyholder.KeyHolder("team-1"),
            "other": keyholder.KeyHolder("team-2"),
        },
        LIMITS,
        needs_key=True,
    )
