"""Wires the tasks of a daemon that forwards for declared routes."""

from collections.abc import Callable
import functools
import os
import random
import signal

import eventlet
import eventlet.event

from citronvalve.daemon import conductor
from citronvalve.daemon import decisionwriter
from citronvalve.daemon import declarations
from citronvalve.daemon import entrysettings
from citronvalve.daemon import health
from citronvalve.daemon import listener
from citronvalve.daemon import newstask
from citronvalve.daemon import ports as ports_
from citronvalve.daemon import runnerlist
from citronvalve.forward import acceptor
from citronvalve.forward import admission
from citronvalve.forward import connectionpool
from citronvalve.forward import crashdetector
from citronvalve.forward import dependencies
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import forwarder
from citronvalve.forward import placement
from citronvalve.forward import retrybudgets
from citronvalve.forward import stalldetector
from citronvalve.model import clock
from citronvalve.model import errors
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import lease
from citronvalve.routes import callerlimits
from citronvalve.storage import tail

_OPERATORS_TIMEOUT: clock.Ms = 5_000

#: After a request to stop, connections are still taken for so long: the
#: balancer asks once a second and leaves a daemon out after two misses.
_STILL_TAKEN: clock.Ms = 3_000

#: Left of the grace when the process ends by itself.
_END_EARLY: clock.Ms = 300

_LOOK: clock.Ms = 20

#: How often upstreams that are gone are forgotten, and gauges are set.
_TIDY: clock.Ms = 1_000


class EntryDaemon:
    """One process between callers and upstreams, without a disk.

    :param settings: checked settings.
    :param ports: the platform.
    :raises errors.SettingsError: when an address can't be listened at.
    """

    def __init__(
        self, settings: entrysettings.EntrySettings, ports: ports_.Ports
    ) -> None:
        self._settings = settings
        self._ports = ports
        now = clock.SystemClock()
        self._log = decisionwriter.DecisionWriter(
            settings.name, settings.datacentre, now
        )
        self.env = environments.Environment(
            settings.name,
            settings.datacentre,
            now,
            random.Random(os.urandom(16)),
            self._log,
            ports.dialect,
        )
        self.directory = directories.Directory(settings.datacentre)
        self._book = upstreamchoice.LoadTable()
        self._stop = eventlet.event.Event()
        self._make_forwarding()
        self._make_leading()
        self._make_listeners()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then end what is in progress."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        self.env.log.change("started", callers=self._settings.callers)
        eventlet.spawn(self._log.run)
        self._follow()
        self._news.start()
        eventlet.spawn(self._lead)
        eventlet.spawn(self._conductor.run)
        eventlet.spawn(self._tidy)
        self._operators.start()
        self._callers.start()
        self._stop.wait()
        self._drain()

    def _make_forwarding(self) -> None:
        env, settings = self.env, self._settings
        self._stalls = stalldetector.StallDetector(env, self._book)
        kept = connectionpool.ConnectionPool(env.clock)
        self._crashes = crashdetector.CrashDetector(env, kept)
        self._means = dependencies.Dependencies(
            env,
            self.directory,
            self._book,
            kept,
            placement.Placement(
                env, self.directory, self._book, settings.cold
            ),
            retrybudgets.RetryBudgets(env, settings.repeats),
            self._stalls,
            self._crashes,
        )
        self._forwarder = forwarder.Forwarder(
            self._means, admission.Admission(env, self.directory)
        )

    def _make_leading(self) -> None:
        env = self.env
        self._lease = lease.Lease(
            self._ports.open_table(),
            env.name,
            lease.Peer(self._settings.peers, env.datacentre),
            env.clock,
            env.log,
        )
        self._news = newstask.NewsTask(
            env, self._settings.peers, self._lease, self._book
        )
        self._conductor = conductor.Conductor(
            env,
            self.directory,
            self._book,
            self._ports.orders,
            self._settings.stall,
            lambda: self._lease.held if self._lease.may_act() else 0,
            self._is_early,
        )
        self._news.on_standstill = self._on_standstill
        self._lease.has_majority = self._news.has_company
        self._news.on_crash = self._crashes.record_loss
        self._crashes.on_crash = self._news.tell_crash
        self._news.loads.is_pressed = self._means.placement.is_pressed
        self._stalls.on_stall = self._news.tell_standstill

    def _on_standstill(self, upstream: str) -> None:
        self._stalls.record_remote_stall(upstream)
        if self._lease.held:
            self._conductor.accuse(upstream)

    def _make_listeners(self) -> None:
        self._callers = acceptor.Acceptor(
            self._settings.callers,
            self.env,
            self._limits,
            self._forwarder.handle,
        )
        self._operators = listener.Listener(
            self._settings.operators,
            health.Health(self.env, self.directory, self._ports.ready_path),
            _OPERATORS_TIMEOUT,
        )

    def _limits(self) -> callerlimits.CallerLimits:
        catalogue = self.directory.catalogue
        return catalogue.limits if catalogue else callerlimits.CallerLimits()

    def _is_early(self) -> bool:
        return self._settings.first_start and not self._forwarder.received

    def _follow(self) -> None:
        listed = runnerlist.RunnerList(
            self.env, self.directory, self._book, self._ports.runner
        )
        listed.later = _later
        declared = declarations.Declarations(
            self.env, self.directory, self._ports
        )
        for table, reader in (
            (self._ports.operators, declared),
            (self._ports.runners, listed),
        ):
            followed = tail.Tail(
                self._ports.open_table(),
                table,
                reader,
                self.env.log,
                self.env.clock,
                eventlet.sleep,
            )
            self._news.tables.tail_by_table[table] = followed
            followed.is_reader = self._news.is_reader
            followed.on_call = functools.partial(
                self.env.metrics.record_platform_read, table
            )
            followed.on_unreadable = functools.partial(
                self._news.request_whole, table
            )
            followed.on_read = functools.partial(self._news.spread, table)
            if reader is listed:
                listed.trouble_at = lambda t=followed: t.outage.failed_at
            eventlet.spawn(followed.run)

    def _lead(self) -> None:
        while True:
            if not self.env.stopping:
                self._lease.step()
                self.env.daemon_count = self._lease.daemon_count
            eventlet.sleep(lease.RENEW_INTERVAL / clock.SECOND)

    def _tidy(self) -> None:
        while True:
            here = set(self.directory.runner_by_id)
            self._book.retain(here)
            self._show()
            eventlet.sleep(_TIDY / clock.SECOND)

    def _show(self) -> None:
        show = self.env.metrics.set_gauge
        catalogue = self.directory.catalogue
        version = catalogue.version if catalogue else 0
        now = self.env.clock.now()
        age = (now - self.directory.confirmed_at) / clock.SECOND
        show("in_progress", "Requests now.", self._forwarder.in_progress)
        show("connections", "Callers' connections.", self._callers.count)
        show("log_lines_dropped", "Lines dropped.", self._log.dropped)
        show("leading", "Whether it leads.", float(bool(self._lease.held)))
        show("daemons", "Daemons known.", self._lease.daemon_count)
        tail_by_table = self._news.tables.tail_by_table
        listed = tail_by_table[self._ports.runners].revision
        declared = tail_by_table[self._ports.operators].revision
        show("upstream_list_revision", "Known up to here.", listed)
        show("declarations_revision", "Known up to here.", declared)
        show("configuration_version", "Version in force.", version)
        show("configuration_age_seconds", "Since it was the newest.", age)

    def _on_stop(self, *_: object) -> None:
        # A signal handler must not switch tasks.
        eventlet.hubs.get_hub().schedule_call_global(0, self._ask_to_stop)

    def _ask_to_stop(self) -> None:
        if not self._stop.ready():
            self._stop.send()

    def _on_reload(self, *_: object) -> None:
        eventlet.hubs.get_hub().schedule_call_global(0, self._reload)

    def _reload(self) -> None:
        try:
            read = self._ports.reload()
        except errors.SettingsError as error:
            self.env.log.change("reload refused", why=str(error)[:300])
            return
        # Addresses and the name stay: they are those of this process.
        self._settings = self._settings._replace(
            repeats=read.repeats, cold=read.cold, grace=read.grace
        )
        self._means.retry_budgets.limits = read.repeats
        self._means.placement.cold_limits = read.cold
        self.env.log.change("reloaded", grace_ms=read.grace)

    def _drain(self) -> None:
        env = self.env
        began = env.clock.now()
        end = began + self._settings.grace - _END_EARLY
        env.stopping = True
        env.log.change("stopping", in_progress=self._forwarder.in_progress)
        self._lease.resign()
        while env.clock.now() < began + _STILL_TAKEN:
            eventlet.sleep(_LOOK / clock.SECOND)
        self._callers.close()
        while self._callers.count and env.clock.now() < end:
            self._callers.close_idle()
            eventlet.sleep(_LOOK / clock.SECOND)
        env.log.change("stopped", left=self._forwarder.in_progress)
        self._news.close()
        self._log.flush()


def _later(span: clock.Ms, act: Callable[[], None]) -> None:
    eventlet.spawn_after(span / clock.SECOND, act)
