"""Exchanges table versions and load reports with the peers."""

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

#: Bounds the row keys in one log line.
_MAX_LOGGED_ROWS = 20


class PeerTask(listener.Listener):
    """Applies table versions and load reports from peers to the view.

    Versions read by this daemon's own watcher take the same path, so
    daemons that read the platform and daemons that get versions from peers
    can't diverge.

    :param env: the daemon's environment.
    :param view: receives the table versions and the load reports.
    :param settings: the daemon's settings.
    :ivar after_table: called once a version is in force.
    :ivar after_load: called with each newer load report.
    :ivar peer: this daemon as a member of the fleet.
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
        """Open the sockets and start peer discovery."""
        self._task.start()

    def stop(self) -> None:
        """Leave the fleet and notify the peers."""
        self._task.stop()

    def dropped_by_reason(self) -> dict[str, int]:
        """Return how many messages were dropped, by reason."""
        return self._task.dropped()

    def publish_table(self, delta: deltas.Delta) -> None:
        """Publish changes that this daemon's watcher has read.

        :param delta: the changes, as read from the platform.
        """
        self.peer.publish_table(_encode_delta(delta))

    def reconcile_table(self, full: deltas.Delta) -> None:
        """Replace the rows in force where they differ from the platform's.

        :param full: all rows, as this daemon's watcher has read them.
        """
        self.peer.reconcile_table(_encode_delta(full))

    def table_problem(self) -> str:
        """Return why received rows are not in force, or an empty text."""
        return "; ".join(map(str, self._follower.mistakes))

    def on_table(self, delta: tabledelta.TableDelta) -> None:
        self._follower.apply_delta(_decode_delta(delta))
        if self._follower.mistakes or not self._follower.table:
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
        table = self._follower.replace_all(_decode_delta(full))
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
