"""Reads new versions of the operators' table, when it is this one's turn."""

import eventlet

from citronvalve.daemon import peertask
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import comparing
from citronvalve.table import poller as pollers
from citronvalve.table import watcher as watchers


#: A daemon that is no watcher looks this often all the same, so that one
#: whose peers can't reach it still gets an edit within 9 s.  At 1,600
#: daemons these are 200 reads a second of the 2,000 that the platform serves.
_FALLBACK_INTERVAL: clock.Ms = 8_000


class TableTask:
    """Reads what changed in the table, and spreads it.

    Two members of a data centre read it: 1,600 daemons that each looked
    twice a second would take more than the platform serves.  One that has
    no table yet looks as well.

    :param env: the daemon's environment.
    :param view: shows the version in force.
    :param table: the platform's table service.
    :param peering: brings versions into force, here and elsewhere.
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
            watchers.Timing(), env.rng, env.invariants
        )
        self._poller = pollers.Poller(table, self._watcher, env.clock)
        self._comparing = comparing.Comparing(env.rng)
        self._read_at: clock.Ms | None = None
        self._problem = ""

    def run(self) -> None:
        """Read for ever."""
        while True:
            self.step()
            eventlet.sleep(self._watcher.wait() / clock.SECOND)

    def step(self) -> None:
        """Read once, if it is this daemon's turn."""
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
        rested = self._env.clock.now() - self._read_at >= _FALLBACK_INTERVAL
        return rested or self._peer_task.peer.is_watcher()

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
        self._comparing.compared(now)
        full = self._poller.read_whole()
        if missing.is_missing(full):
            self._log_problem(full.reason)
            return
        # A large table takes tens of ms to decode and as long to compare;
        # tokens go out in between.
        eventlet.sleep(0)
        self._peer_task.reconcile_table(full)
        self._log_problem(self._peer_task.table_problem())

    def _log_problem(self, problem: str) -> None:
        # One line when it begins and one when it ends: an hour's outage
        # would else fill the log with one line a look.
        if bool(problem) != bool(self._problem):
            if problem:
                self._env.log.warning("table not read", extra={"why": problem})
            else:
                self._env.log.notice("table read again")
        self._problem = problem
