"""Task that reads new versions of the operators' table."""

import eventlet

from citronvalve.daemon import peertask
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import poller as pollers
from citronvalve.table import reconcileschedule
from citronvalve.table import watcher as watchers


#: Read interval of a daemon that is no watcher, so that one whose peers
#: can't reach it still gets an edit within 9 s.  1,600 daemons cause 200
#: reads a second of the 2,000 that the platform serves.
_FALLBACK_INTERVAL: clock.Ms = 8_000


class TableTask:
    """Reads changes of the table and publishes them to the peers.

    Two watchers in each data centre read the table: 1,600 daemons that each
    read it twice a second would exceed what the platform serves.  A daemon
    that has no table yet reads it too.

    :param env: the daemon's environment.
    :param view: holds the table in force.
    :param table: the platform's table service.
    :param peer_task: applies versions here and publishes them.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        table: tableservice.TableService,
        peer_task: peertask.PeerTask,
    ) -> None:
        self._env = env
        self._view = view
        self._peer_task = peer_task
        self._watcher = watchers.Watcher(
            watchers.PollTiming(), env.rng, env.invariants
        )
        self._poller = pollers.Poller(table, self._watcher, env.clock)
        self._comparing = reconcileschedule.ReconcileSchedule(env.rng)
        self._read_at: clock.Ms | None = None
        self._problem = ""

    def run(self) -> None:
        """Run forever."""
        while True:
            self.step()
            eventlet.sleep(self._watcher.poll_delay() / clock.SECOND)

    def step(self) -> None:
        """Read or compare the table where due."""
        peer = self._peer_task.peer
        if self._is_due():
            self._watcher.skip_to(peer.table_version())
            self._read()
        now = self._env.clock.now()
        disputed = peer.is_table_disputed()
        if self._comparing.is_due(now, peer.is_watcher(), disputed):
            self._compare(now)
        confirmed_at = peer.table_confirmed_at()
        if confirmed_at is not None:
            self._view.confirm_table(confirmed_at)

    def _is_due(self) -> bool:
        if self._read_at is None or not self._view.table:
            return True
        is_overdue = (
            self._env.clock.now() - self._read_at >= _FALLBACK_INTERVAL
        )
        return is_overdue or self._peer_task.peer.is_watcher()

    def _read(self) -> None:
        started_at = self._read_at = self._env.clock.now()
        delta = self._poller.poll()
        if missing.is_missing(delta):
            self._log_problem(delta.reason)
            return
        if delta is not None:
            self._peer_task.publish_table(delta)
        if self._peer_task.peer.table_version() == self._watcher.revision:
            self._peer_task.peer.confirm_table(started_at)
        self._log_problem(self._peer_task.table_problem())

    def _compare(self, now: clock.Ms) -> None:
        self._comparing.record_full_read(now)
        full = self._poller.read_full()
        if missing.is_missing(full):
            self._log_problem(full.reason)
            return
        # Decoding a large table takes tens of ms, and so does comparing it.
        # Yielding in between lets other tasks send tokens.
        eventlet.sleep(0)
        self._peer_task.reconcile_table(full)
        self._log_problem(self._peer_task.table_problem())

    def _log_problem(self, problem: str) -> None:
        # Logs only the start and the end of an outage; otherwise one of an
        # hour would fill the log with a line for each read.
        if bool(problem) != bool(self._problem):
            if problem:
                self._env.log.warning("table not read", extra={"why": problem})
            else:
                self._env.log.notice("table read again")
        self._problem = problem
