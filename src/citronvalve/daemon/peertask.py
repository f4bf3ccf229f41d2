"""Connects the daemon's view of table and loads to its peers."""

from collections.abc import Callable

import msgspec

from citronvalve.daemon import settings as settings_
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import load
from citronvalve.peers import change
from citronvalve.peers import listener
from citronvalve.peers import peer as peers
from citronvalve.peers import peersettings
from citronvalve.peers import tabledelta
from citronvalve.peers import task
from citronvalve.storage import rows
from citronvalve.table import delta as deltas
from citronvalve.table import follower as followers

#: Rows that a log line names at most.
_MAX_LOGGED_ROWS = 20


class PeerTask(listener.Listener):
    """Puts in force what any peer brings, the own watcher included.

    There is one way for a version to come into force here, so a daemon
    that reads the platform and one that hears from peers can't differ.

    :param env: the daemon's environment.
    :param view: takes the versions and the loads.
    :param settings: the daemon's settings.
    :ivar after_table: called once a version is in force.
    :ivar after_load: called with each newer load report.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        settings: settings_.Settings,
    ) -> None:
        self.after_table: Callable[[], None] = lambda: None
        self.after_load: Callable[[load.LoadReport], None] = lambda _: None
        self._env = env
        self._view = view
        self._follower = followers.Follower(env.invariants)
        self.peer = peers.Peer(
            _peer_settings(settings), env.clock, env.rng, env.invariants, self
        )
        self._task = task.PeerTask(self.peer, env.clock)

    def start(self) -> None:
        """Listen, and start to find the others."""
        self._task.start()

    def stop(self) -> None:
        """Say goodbye to the others."""
        self._task.stop()

    def dropped_by_reason(self) -> dict[str, int]:
        """Return how many messages were dropped, by reason."""
        return self._task.dropped()

    def publish_table(self, delta: deltas.Delta) -> None:
        """Spread what the own watcher read.

        :param delta: from the platform.
        """
        self.peer.publish_table(_encode_delta(delta))

    def reconcile_table(self, full: deltas.Delta) -> None:
        """Replace the rows in force where they differ from the platform's.

        :param whole: all rows, as the own watcher read them.
        """
        self.peer.reconcile_table(_encode_delta(full))

    def table_problem(self) -> str:
        """Return why rows that arrived are not in force, if they are not."""
        return "; ".join(map(str, self._follower.refused))

    def on_table(self, delta: tabledelta.TableDelta) -> None:
        self._follower.take(_decode_delta(delta))
        if self._follower.refused or not self._follower.table:
            return
        if self._view.update_table(self._follower.table):
            self._env.log.info(
                "table in force", extra={"version": self._view.version}
            )
            self.after_table()

    def on_table_corrected(
        self,
        full: tabledelta.TableDelta,
        wrong: tuple[tuple[str, str], ...],
    ) -> None:
        self._env.log.warning(
            "table differed from the platform's",
            extra={
                "count": len(wrong),
                "rows": [key for _, key in wrong[:_MAX_LOGGED_ROWS]],
            },
        )
        table = self._follower.replace(_decode_delta(full))
        if table is None:
            return
        if self._view.replace_table(table):
            self.after_table()
            return
        self._env.log.error(
            "the platform's table is of a lower version than the one in "
            "force; edit any row of it to raise it",
            extra={"version": self._view.version, "platform": table.version},
        )

    def on_load(self, report: load.LoadReport) -> None:
        self._view.load_by_upstream[report.upstream] = report
        self.after_load(report)

    def on_new_incarnation(self) -> None:
        self._env.log.warning("declared dead by peers, or stopped; rejoining")


def _peer_settings(
    settings: settings_.Settings,
) -> peersettings.PeerSettings:
    return peersettings.PeerSettings(
        settings.name,
        settings.datacentre,
        f"tcp://{settings.peers}",
        tuple(f"tcp://{seed}" for seed in settings.seeds),
        expected_daemons=settings.daemons_here,
        public_key=settings.peer_public_key,
        secret_key=settings.peer_secret_key,
        allowed_keys=settings.fleet_public_keys,
    )


def _encode_delta(delta: deltas.Delta) -> tabledelta.TableDelta:
    packed = tuple(map(_encode_row, delta.rows))
    return tabledelta.TableDelta(delta.revision, delta.base, packed)


def _decode_delta(delta: tabledelta.TableDelta) -> deltas.Delta:
    opened = tuple(map(_decode_row, delta.changes))
    return deltas.Delta(delta.base, delta.version, opened)


def _encode_row(row: rows.Row) -> change.Change:
    value = msgspec.msgpack.encode(row.value) if row.value else b""
    return change.Change(row.table, row.key, row.version, value)


def _decode_row(packed: change.Change) -> rows.Row:
    value = msgspec.msgpack.decode(packed.value) if packed.value else {}
    return rows.Row(packed.table, packed.key, value, packed.version)
