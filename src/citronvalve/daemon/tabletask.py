"""Brings new versions of the operators' table into force."""

import eventlet

from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.platform import tableservice
from citronvalve.table import follower as followers
from citronvalve.table import poller as pollers
from citronvalve.table import watcher as watchers


class TableTask:
    """Reads what changed in the table, and follows it.

    :param env: the daemon's environment.
    :param view: takes the versions.
    :param table: the platform's table service.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        table: tableservice.TableService,
    ) -> None:
        self._env = env
        self._view = view
        self._watcher = watchers.Watcher(
            watchers.Timing(), env.chance, env.invariants
        )
        self._poller = pollers.Poller(table, self._watcher, env.clock)
        self._follower = followers.Follower(env.invariants)
        self._trouble = ""

    def run(self) -> None:
        """Read for ever."""
        while True:
            self.step()
            eventlet.sleep(self._watcher.wait() / clock.SECOND)

    def step(self) -> None:
        """Read once."""
        told = self._poller.poll()
        if missing.is_missing(told):
            self._note(told.reason)
            return
        if told is not None:
            self._follower.take(told)
        self._note("; ".join(map(str, self._follower.refused)))
        if self._trouble or not self._follower.table:
            return
        if self._view.adopt(self._follower.table):
            self._env.log.info(
                "table in force", extra={"version": self._view.version}
            )

    def _note(self, trouble: str) -> None:
        # One line when it begins and one when it ends: an hour's outage
        # would else fill the log with one line a look.
        if bool(trouble) != bool(self._trouble):
            if trouble:
                self._env.log.warning("table not read", extra={"why": trouble})
            else:
                self._env.log.notice("table read again")
        self._trouble = trouble
