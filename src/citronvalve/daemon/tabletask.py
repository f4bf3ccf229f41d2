"""Brings new versions of the operators' table into force."""

import eventlet

from citronvalve.daemon import spreading as spreadings
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.platform import tableservice
from citronvalve.table import delta as deltas
from citronvalve.table import follower as followers
from citronvalve.table import poller as pollers
from citronvalve.table import watcher as watchers

#: A daemon that is no watcher looks this often all the same, so that one
#: whose peers can't reach it still gets an edit within 9 s.  At 1,600
#: daemons these are 200 reads a second of the 2,000 that the platform serves.
REST: clock.Ms = 8_000


class TableTask:
    """Reads what changed in the table, and follows it.

    :param env: the daemon's environment.
    :param view: takes the versions.
    :param table: the platform's table service.
    :param spreading: the way to and from the other daemons.
    :ivar trouble: why the newest version is not read or not in force.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        table: tableservice.TableService,
        spreading: spreadings.Spreading,
    ) -> None:
        self._env = env
        self._view = view
        self._watcher = watchers.Watcher(
            watchers.Timing(), env.chance, env.invariants
        )
        self._poller = pollers.Poller(table, self._watcher, env.clock)
        self._follower = followers.Follower(env.invariants)
        self._spreading = spreading
        self._looked_at: clock.Ms | None = None
        self.trouble = ""
        spreading.on_delta = self.take

    def run(self) -> None:
        """Read for ever."""
        while True:
            if self._is_due():
                self.step()
            eventlet.sleep(self._watcher.wait() / clock.SECOND)

    def step(self) -> None:
        """Look once."""
        self._looked_at = self._env.clock.now()
        # Peers may have brought newer rows than the last look did.
        self._watcher.skip_to(self._follower.revision)
        told = self._poller.poll()
        if missing.is_missing(told):
            self._note(told.reason)
            return
        if told is not None:
            self._spreading.offer(told)
        self._note("; ".join(map(str, self._follower.refused)))
        if not self.trouble and self._follower.table:
            # The platform has no newer version: the age starts anew.
            self._adopt()

    def take(self, delta: deltas.Delta) -> None:
        """Follow a delta.

        :param delta: of the platform or of a peer.
        """
        taken = self._follower.take(delta)
        if isinstance(taken, missing.Stale):
            self._env.log.error("table rows lost", extra={"why": taken.reason})
        elif taken:
            self._adopt()

    def _is_due(self) -> bool:
        if self._looked_at is None or self._spreading.is_watcher():
            return True
        return self._env.clock.now() - self._looked_at >= REST

    def _adopt(self) -> None:
        if self._view.adopt(self._follower.table):
            self._env.log.info(
                "table in force", extra={"version": self._view.version}
            )

    def _note(self, trouble: str) -> None:
        # One line when it begins and one when it ends: an hour's outage
        # would else fill the log with one line a look.
        if bool(trouble) != bool(self.trouble):
            if trouble:
                self._env.log.warning("table not read", extra={"why": trouble})
            else:
                self._env.log.notice("table read again")
        self.trouble = trouble
