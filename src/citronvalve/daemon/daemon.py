"""Creates the tasks of a daemon and stops them in order."""

from collections.abc import Callable
import os
import random
import signal

import eventlet
import eventlet.event
import logbook

from citronvalve.daemon import dispatchertask
from citronvalve.daemon import grouptask
from citronvalve.daemon import listener
from citronvalve.daemon import loadtask
from citronvalve.daemon import logbooklog
from citronvalve.daemon import memorytask
from citronvalve.daemon import needlistener
from citronvalve.daemon import operators
from citronvalve.daemon import peertask
from citronvalve.daemon import policydispatch
from citronvalve.daemon import policysync
from citronvalve.daemon import recordtask
from citronvalve.daemon import settings as settings_
from citronvalve.daemon import supervision
from citronvalve.daemon import sweeptask
from citronvalve.daemon import tabletask
from citronvalve.entry import app
from citronvalve.entry import chat
from citronvalve.entry import environment as environments
from citronvalve.entry import keyedrunner
from citronvalve.entry import metrics
from citronvalve.entry import plain
from citronvalve.entry import progress as progresses
from citronvalve.entry import view as views
from citronvalve.forward import environment as forward_environment
from citronvalve.forward import headernames
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.policy import dispatcher
from citronvalve.routes import callerlimits
from citronvalve.storage import client as platform_client
from citronvalve.storage import httptable
from citronvalve.storage import httpvms
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import loadclient
from citronvalve.upstreams import plainclient
from citronvalve.upstreams import pools

_DRAIN_POLL_INTERVAL: clock.Ms = 20

#: Limits on callers beside those of the settings.  The balancer reconnects
#: once an idle connection is closed.
_MAX_HEADER_BYTES = 65_536
_HEADER_TIMEOUT: clock.Ms = 10_000
_IDLE_TIMEOUT: clock.Ms = 75_000

#: A store that takes 4.5 s for each response can still be read, as no
#: request waits for it.
_TABLE_TIMEOUT: clock.Ms = 6_000


class Daemon:
    """One process between callers and upstreams.

    :param settings: checked settings.
    :raises errors.SettingsError: when an address can't be listened at.
    """

    def __init__(self, settings: settings_.Settings) -> None:
        self._settings = settings
        self._env = _environment(settings)
        self._stop = eventlet.event.Event()
        self._progress = progresses.Progress()
        self._view = views.View(self._env.clock, self._env.invariants)
        self._peer_task = peertask.PeerTask(self._env, self._view, settings)
        self._dispatcher = dispatcher.Dispatcher(
            settings.datacentre, self._env.rng, self._env.invariants
        )
        self._dispatch = policydispatch.PolicyDispatch(
            self._env, self._view, self._dispatcher
        )
        connections = pools.Pools()
        connections.on_sending = needlistener.NeedListener(
            self._env, self._dispatcher
        ).on_sending
        platform = platform_client.PlatformClient(settings.platform)
        self._record_task = recordtask.RecordTask(
            self._env, platform, lambda: len(self._peer_task.peer.members())
        )
        self._tasks = self._make_tasks(connections, platform)
        self._http = _http_environment(self._env)
        self._memory = memorytask.MemoryTask(
            self._http, settings.memory, slow_peers=False
        )
        self._caller_listener = listener.Listener(
            settings.callers,
            self._make_app(connections),
            self._http,
            _limits(settings),
            listener.MAX_CONNECTIONS,
        )
        self._operator_listener = listener.Listener(
            settings.operators,
            operators.Operators(
                settings,
                self._env,
                self._view,
                self._progress,
                self._peer_task,
                self._render_http_metrics,
            ),
            self._http,
            listener.OPERATORS_LIMITS,
            listener.MAX_OPERATORS,
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let running requests end."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self._peer_task.start()
        # A batch whose outcome is unknown is not repeated by a restart.
        eventlet.spawn(self._record_task.run)
        for task in self._tasks:
            eventlet.spawn(self._supervise, type(task).__name__, task.run)
        self._operator_listener.start()
        self._caller_listener.start()
        self._env.log.info("serving", extra={"at": self._settings.callers})
        self._stop.wait()
        self._drain()

    def _render_http_metrics(self) -> bytes:
        self._memory.set_gauges(self._http.metrics.set_gauge)
        return self._http.metrics.render()

    def _supervise(self, name: str, run: Callable[[], None]) -> None:
        def log(why: str, where: str) -> None:
            extra = {"task": name, "why": why, "where": where}
            self._env.log.error("task failed", extra=extra)

        def count() -> None:
            self._env.metrics.record_task_failure(name)

        supervision.supervise(run, log, count)

    def _on_signal(self, *_: object) -> None:
        # A signal handler must not switch tasks.
        eventlet.hubs.get_hub().schedule_call_global(0, self._request_stop)

    def _request_stop(self) -> None:
        if not self._stop.ready():
            self._stop.send()

    def _drain(self) -> None:
        self._progress.stopping = True
        self._env.log.info(
            "stopping", extra={"in_progress": self._progress.count}
        )
        # The balancer sends connections until it notices that this daemon is
        # not ready; closing at once would refuse them.
        eventlet.sleep(self._settings.stop_notice / clock.SECOND)
        self._progress.closed = True
        self._caller_listener.close()
        while self._progress.count:
            eventlet.sleep(_DRAIN_POLL_INTERVAL / clock.SECOND)
        self._record_task.drain()
        self._group_task.stop()
        self._peer_task.stop()
        self._env.log.info("stopped")

    def _make_tasks(
        self,
        connections: pools.Pools,
        platform: platform_client.PlatformClient,
    ) -> list:
        # A separate client: reads of the table may wait long for a slow
        # store, and their timeouts must not drop the records' connections.
        table = httptable.HttpTable(
            platform_client.PlatformClient(
                self._settings.platform, _TABLE_TIMEOUT
            )
        )
        loads = loadclient.LoadClient(connections, self._env.clock)
        self._group_task = grouptask.GroupTask(
            self._env,
            self._view,
            self._settings,
            table,
            self._make_vm_list(platform),
        )
        return [
            self._group_task,
            tabletask.TableTask(self._env, self._view, table, self._peer_task),
            loadtask.LoadTask(self._view, loads, self._peer_task),
            sweeptask.SweepTask(
                self._env, self._view, self._record_task.sweeper
            ),
            self._make_dispatcher_task(),
        ]

    def _make_vm_list(
        self, platform: platform_client.PlatformClient
    ) -> httpvms.HttpVms:
        vms = httpvms.HttpVms(platform)

        def log(key: str, why: str) -> None:
            self._env.metrics.record_left_out("vms")
            extra = {"key": key, "why": why}
            self._env.log.warning("entry left out", extra=extra)

        vms.on_left_out = log
        return vms

    def _make_dispatcher_task(self) -> dispatchertask.DispatcherTask:
        task = dispatchertask.DispatcherTask(
            self._env,
            self._view,
            self._dispatcher,
            self._dispatch,
            policysync.PolicySync(
                self._peer_task.peer, self._dispatcher, self._env.datacentre
            ),
        )
        self._peer_task.after_table = task.update
        self._peer_task.after_load = task.on_load
        return task

    def _make_app(self, connections: pools.Pools) -> app.App:
        engines = engineclient.EngineClient(connections)
        services = plainclient.PlainClient(connections)
        return app.App(
            self._env,
            self._view,
            chat.ChatHandler(self._env, self._dispatch, engines),
            plain.ServiceHandler(
                self._env,
                self._dispatch,
                services,
                keyedrunner.KeyedRunner(self._record_task.recorder),
            ),
            self._progress,
        )


def _http_environment(
    env: environments.Environment,
) -> forward_environment.Environment:
    """Return the environment of the daemon's ports for HTTP.

    :param env: the daemon's environment.
    """
    return forward_environment.Environment(
        env.name,
        env.datacentre,
        env.clock,
        env.rng,
        logbooklog.LogbookLog(env.log),
        headernames.HeaderNames(),
    )


def _limits(settings: settings_.Settings) -> callerlimits.CallerLimits:
    return callerlimits.CallerLimits(
        max_header_bytes=_MAX_HEADER_BYTES,
        max_body_bytes=settings.body,
        header_timeout=_HEADER_TIMEOUT,
        idle_timeout=_IDLE_TIMEOUT,
        write_timeout=settings.write_timeout,
    )


def _environment(settings: settings_.Settings) -> environments.Environment:
    return environments.Environment(
        settings.name,
        settings.datacentre,
        clock.SystemClock(),
        random.Random(os.urandom(16)),
        logbook.Logger("citronvalve"),
        metrics.Metrics(),
        invariant.Invariants(),
        environments.RequestLimits(max_body_size=settings.body),
    )
