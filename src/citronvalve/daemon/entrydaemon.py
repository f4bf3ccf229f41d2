"""Creates the tasks of a daemon that forwards for declared routes."""

from collections.abc import Callable
import functools
import os
import random
import signal
import sys

import eventlet
import eventlet.event

from citronvalve.daemon import configurationlistener
from citronvalve.daemon import decisionwriter
from citronvalve.daemon import entrysettings
from citronvalve.daemon import excessreport
from citronvalve.daemon import health
from citronvalve.daemon import linktask
from citronvalve.daemon import listener
from citronvalve.daemon import memorytask
from citronvalve.daemon import messagetask
from citronvalve.daemon import needexchange
from citronvalve.daemon import plannertask
from citronvalve.daemon import platforminterface as ports_
from citronvalve.daemon import processlimits
from citronvalve.daemon import roomreport
from citronvalve.daemon import runnerlistener
from citronvalve.daemon import supervision
from citronvalve.forward import acceptor
from citronvalve.forward import admission
from citronvalve.forward import crashdetector
from citronvalve.forward import dependencies
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import forwarder
from citronvalve.forward import listcheck
from citronvalve.forward import needs
from citronvalve.forward import placement
from citronvalve.forward import poolrooms
from citronvalve.forward import retrybudgets
from citronvalve.forward import stalldetector
from citronvalve.model import clock
from citronvalve.model import errors
from citronvalve.policy import datacentrechoice
from citronvalve.policy import evenchoice
from citronvalve.policy import stopschedule
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import crashrecord
from citronvalve.replicas import lease
from citronvalve.replicas import leaverecord
from citronvalve.routes import callerlimits
from citronvalve.storage import rows
from citronvalve.storage import tail

_DRAIN_POLL_INTERVAL: clock.Ms = 20

#: Interval at which loads of removed upstreams are dropped and gauges set.
_CLEANUP_INTERVAL: clock.Ms = 1_000

#: Time for which a daemon that starts waits for the first rows from other
#: daemons before it reads them from the store.  At the first start none has
#: any; after a restart callers wait.
_FIRST_START_PEERS_WAIT: clock.Ms = 4_000
_RESTART_PEERS_WAIT: clock.Ms = 400

#: Above all revisions of a table.
_NEWEST_REVISION = sys.maxsize


class EntryDaemon:
    """One process between callers and upstreams; it stores nothing on disk.

    :param settings: checked settings.
    :param platform: access to the platform.
    :raises errors.SettingsError: when an address can't be listened at.
    """

    def __init__(
        self,
        settings: entrysettings.EntrySettings,
        platform: ports_.PlatformInterface,
    ) -> None:
        self._settings = settings
        self._platform = platform
        time_source = clock.SystemClock()
        self._log = decisionwriter.DecisionWriter(
            settings.name, settings.datacentre, time_source
        )
        self.env = environments.Environment(
            settings.name,
            settings.datacentre,
            time_source,
            random.Random(os.urandom(16)),
            self._log,
            platform.header_names,
        )
        self._memory = memorytask.MemoryTask(
            self.env,
            settings.machine.memory,
            settings.features.slow_peers,
            settings.machine.link,
        )
        self.directory = directories.Directory(settings.datacentre)
        self._loads = upstreamchoice.LoadTable()
        self._room_report = roomreport.RoomReport(
            self.env, self.directory, self._loads
        )
        self._excess_report = excessreport.ExcessReport(self.env)
        self._stop = eventlet.event.Event()
        self._make_forwarding()
        self._make_leadership()
        self._make_listeners()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let running requests end."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        self.env.log.change("started", callers=self._settings.callers)
        eventlet.spawn(self._log.run)
        eventlet.spawn(self.env.pauses.run)
        self._follow_tables()
        self._messages.start(
            self._peers_wait(), not self._settings.first_start
        )
        self._crash_exchange.start()
        self._need_exchange.start()
        supervision.spawn(self.env, "lease", self._renew_lease)
        supervision.spawn(self.env, "planner", self._planner_task.run)
        supervision.spawn(self.env, "cleanup", self._clean_up)
        self._operator_listener.start()
        self._acceptor.start()
        self._links.start()
        self._stop.wait()
        self._drain()

    def _make_forwarding(self) -> None:
        env, settings = self.env, self._settings
        self._stall_detector = stalldetector.StallDetector(env, self._loads)
        self._links = linktask.LinkTask(
            env, settings, self.directory, self._loads
        )
        self._links.attach(self._stall_detector)
        pool = self._links.pool
        self._crash_detector = crashdetector.CrashDetector(
            env, pool, self.directory
        )
        self._needs = needs.Needs(env, self.directory)
        self._links.heed(self._needs.rests)
        self._rooms = (
            poolrooms.PoolRooms(env, self.directory, self._loads)
            if settings.features.fair_shares
            else None
        )
        self._dependencies = dependencies.Dependencies(
            env,
            self.directory,
            self._loads,
            self._links.connector,
            pool,
            placement.Placement(
                env,
                self.directory,
                self._loads,
                settings.cold,
                self._needs,
                self._rooms,
            ),
            retrybudgets.RetryBudgets(env, settings.repeats),
            self._stall_detector,
            self._crash_detector,
            self._needs,
            listcheck.ListCheck(env),
        )
        self._forwarder = forwarder.Forwarder(
            self._dependencies, admission.Admission(env, self.directory)
        )

    def _make_leadership(self) -> None:
        env = self.env
        self._lease = lease.Lease(
            self._platform.open_table(),
            env.name,
            lease.Peer(
                self._settings.peers, env.datacentre, self._settings.relay
            ),
            env.clock,
            env.log,
        )
        self._links.lease = self._lease
        self._messages = messagetask.MessageTask(
            env, self._settings.peers, self._lease, self._loads
        )
        self._planner_task = plannertask.PlannerTask(
            env,
            self.directory,
            self._loads,
            self._platform.runner_client,
            self._settings.stall,
            lambda: self._lease.held if self._lease.may_act() else 0,
            leaverecord.LeaveRecord(self._platform.open_table(), self._lease),
            self._is_before_traffic,
            self._settings.features.local_rooms,
        )
        self._messages.on_stall = self._on_stall
        self._lease.has_majority = self._messages.hears_majority
        self._lease.rank = self._lead_rank
        self._exchange_crashes()
        self._need_exchange = needexchange.NeedExchange(
            env, self._needs, self._lease, self._messages
        )
        self._messages.load_broadcaster.is_nearly_full = (
            self._dependencies.placement.is_pressed
        )
        if self._settings.features.even_load:
            self._spread_evenly()
        if self._rooms is not None:
            self._messages.load_broadcaster.details = self._rooms.details
        self._dependencies.placement.set_report_age(
            self._messages.load_broadcaster.report_age
        )
        self._stall_detector.on_stall = self._messages.broadcast_stall

    def _spread_evenly(self) -> None:
        settings = self._loads, self.env.rng
        turn = self._messages.load_broadcaster.turn
        choice = evenchoice.EvenChoice(*settings, turn)
        if self._settings.features.local_rooms:
            choice = datacentrechoice.DatacentreChoice(*settings, turn)
            choice.on_excess = self._excess_report.record
        self._dependencies.placement.set_choice(choice)

    def _exchange_crashes(self) -> None:
        detector = self._crash_detector
        exchange = self._messages.exchange_crashes(detector.suspects)
        exchange.merge = detector.merge
        detector.on_crash = exchange.send_losses
        detector.on_proof = exchange.send_proofs
        detector.may_try = lambda: bool(
            self._lease.held and self._lease.may_act()
        )
        detector.wait_known = exchange.wait_known
        self._crash_exchange = exchange
        record = crashrecord.CrashRecord(
            self._platform.open_table(), self._lease, self.env.clock
        )
        exchange.record = record.write
        self._lease.on_row = self._read_crashes

    def _read_crashes(self, row: rows.Row) -> None:
        if row.key == crashrecord.KEY:
            evidence = crashrecord.parse(row.value, self.env.clock.now())
            self._crash_detector.suspects.merge(evidence)

    def _lead_rank(self) -> int:
        return self._links.lead_rank(self._messages.lead_rank())

    def _on_stall(self, upstream: str) -> None:
        self._stall_detector.record_remote_stall(upstream)
        self._planner_task.suspect_group(upstream)

    def _make_listeners(self) -> None:
        self._acceptor = acceptor.Acceptor(
            self._settings.callers,
            self.env,
            self._limits,
            self._forwarder.handle,
            processlimits.callers(self._settings.connections),
        )
        self._operator_listener = listener.Listener(
            self._settings.operators,
            health.Health(self.env, self.directory, self._platform.ready_path),
            self.env,
            listener.OPERATORS_LIMITS,
            listener.MAX_OPERATORS,
        )

    def _limits(self) -> callerlimits.CallerLimits:
        catalogue = self.directory.catalogue
        return catalogue.limits if catalogue else callerlimits.CallerLimits()

    def _is_before_traffic(self) -> bool:
        return self._settings.first_start and not self._forwarder.received

    def _follow_tables(self) -> None:
        runner_listener = runnerlistener.RunnerListener(
            self.env, self.directory, self._loads, self._platform.decode_runner
        )
        runner_listener.schedule = _schedule
        runner_listener.on_start = self._crash_detector.record_restart
        runner_listener.on_gone = self._crash_detector.record_gone
        runner_listener.on_restart = self._needs.record_restart
        configuration_listener = configurationlistener.ConfigurationListener(
            self.env, self.directory, self._platform
        )
        for table, listener_ in (
            (self._platform.operators_table, configuration_listener),
            (self._platform.runners_table, runner_listener),
        ):
            tail_ = tail.Tail(
                self._platform.open_table(),
                table,
                listener_,
                self.env.log,
                self.env.clock,
                eventlet.sleep,
            )
            self._messages.tables.tail_by_table[table] = tail_
            tail_.is_reader = self._messages.is_reader
            tail_.on_call = functools.partial(
                self.env.metrics.record_platform_read, table
            )
            tail_.on_unreadable = functools.partial(
                self._messages.request_full_update, table
            )
            tail_.on_read = functools.partial(
                self._messages.broadcast_changes, table
            )
            if listener_ is runner_listener:
                read_list = functools.partial(
                    tail_.read_up_to, service=self._platform.open_table()
                )
                self._planner_task.read_list = read_list
                self._dependencies.list_check.read = functools.partial(
                    read_list, _NEWEST_REVISION
                )
                runner_listener.store_failed_at = lambda t=tail_: (
                    t.outage.failed_at
                )
                self._lease.is_store_away = tail_.is_store_away
            supervision.spawn(self.env, f"table {table}", tail_.run)

    def _peers_wait(self) -> clock.Ms:
        """Return the ms for which other daemons may send the first rows."""
        usual = (
            _FIRST_START_PEERS_WAIT
            if self._settings.first_start
            else _RESTART_PEERS_WAIT
        )
        return round(usual * self.env.rng.uniform(1.0, 1.5))

    def _renew_lease(self) -> None:
        while True:
            if not self.env.stopping:
                self._lease.step()
                self._links.resign_if_cut()
                self.env.daemon_count = self._lease.daemon_count
            eventlet.sleep(lease.RENEW_INTERVAL / clock.SECOND)

    def _clean_up(self) -> None:
        while True:
            listed = set(self.directory.runner_by_id)
            self._loads.retain(listed)
            self._needs.update(listed)
            self._memory.count_upstreams(len(listed))
            self._update_gauges()
            if self._settings.features.even_load:
                self._room_report.update()
                self._excess_report.update()
            eventlet.sleep(_CLEANUP_INTERVAL / clock.SECOND)

    def _update_gauges(self) -> None:
        set_gauge = self.env.metrics.set_gauge
        catalogue = self.directory.catalogue
        version = catalogue.version if catalogue else 0
        now = self.env.clock.now()
        age = (now - self.directory.confirmed_at) / clock.SECOND
        set_gauge("in_progress", "Requests now.", self._forwarder.in_progress)
        set_gauge("connections", "Callers' connections.", self._acceptor.count)
        self._links.set_gauges(set_gauge)
        self._memory.set_gauges(set_gauge)
        set_gauge("log_lines_dropped", "Lines dropped.", self._log.dropped)
        set_gauge(
            "leading", "Whether it leads.", float(bool(self._lease.held))
        )
        set_gauge("daemons", "Daemons known.", self._lease.daemon_count)
        tail_by_table = self._messages.tables.tail_by_table
        listed = tail_by_table[self._platform.runners_table].revision
        declared = tail_by_table[self._platform.operators_table].revision
        set_gauge("upstream_list_revision", "Known up to here.", listed)
        set_gauge("declarations_revision", "Known up to here.", declared)
        set_gauge("configuration_version", "Version in force.", version)
        set_gauge("configuration_age_seconds", "Since it was the newest.", age)

    def _on_stop(self, *_: object) -> None:
        # A signal handler must not switch tasks.
        eventlet.hubs.get_hub().schedule_call_global(0, self._request_stop)

    def _request_stop(self) -> None:
        if not self._stop.ready():
            self._stop.send()

    def _on_reload(self, *_: object) -> None:
        eventlet.hubs.get_hub().schedule_call_global(0, self._reload)

    def _reload(self) -> None:
        try:
            settings = self._platform.reload_settings()
        except errors.SettingsError as error:
            self.env.log.change("reload refused", why=str(error)[:300])
            return
        # The name and the addresses can't change in a running process.
        self._settings = self._settings._replace(
            repeats=settings.repeats, cold=settings.cold, grace=settings.grace
        )
        self._dependencies.retry_budgets.limits = settings.repeats
        self._dependencies.placement.cold_limits = settings.cold
        self.env.log.change("reloaded", grace_ms=settings.grace)

    def _drain(self) -> None:
        env = self.env
        now = env.clock.now()
        schedule = stopschedule.plan(now, self._settings.grace)
        env.stop = schedule
        env.log.change(
            "stopping",
            in_progress=self._forwarder.in_progress,
            listens_ms=schedule.listens_until - now,
            takes_ms=schedule.takes_until - now,
            ends_ms=schedule.ends_at - now,
        )
        self._lease.resign()
        while not env.has_stopped_listening():
            eventlet.sleep(_DRAIN_POLL_INTERVAL / clock.SECOND)
        self._acceptor.close()
        while (
            self._acceptor.count or self._links.relaying
        ) and env.clock.now() < schedule.ends_at:
            self._acceptor.close_idle()
            eventlet.sleep(_DRAIN_POLL_INTERVAL / clock.SECOND)
        env.log.change("stopped", left=self._forwarder.in_progress)
        self._forwarder.log_cut()
        self._links.close()
        self._messages.close()
        self._log.finish()


def _schedule(delay: clock.Ms, callback: Callable[[], None]) -> None:
    eventlet.spawn_after(delay / clock.SECOND, callback)
