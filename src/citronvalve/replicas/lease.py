"""Which daemon leads the replica groups."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice

TABLE = "citronvalve"
_LEADER_KEY = "leader"
_DAEMON_PREFIX = "daemon/"

#: How often the holder renews, and the others look.
RENEW_INTERVAL: clock.Ms = 1_000

#: A row that has not changed for so long may be taken: a renewal that was
#: lost, and some.  It only saves work: what keeps two leaders apart are
#: the epochs, since a runner refuses one lower than it has seen.
_LEASE_DURATION: clock.Ms = 1_900

#: A leader that was heard this lately need not be looked for in the store.
_LEADER_TIMEOUT: clock.Ms = 1_000

#: A leader that could not renew for so long goes silent.
_RENEWAL_TIMEOUT: clock.Ms = 2_200

#: Even then the list of daemons is read once in this time.
_SCAN_INTERVAL: clock.Ms = 10_000

#: A leader reads it this often for a while after it took the lead, since at
#: the start daemons come one after the other.
_NEW_LEADER_SCAN_INTERVAL: clock.Ms = 1_000
_NEW_LEADER_TIME: clock.Ms = 5_000


#: Epochs of one lease; a leader forms far fewer groups.
_EPOCHS_PER_LEASE = 100_000


def epochs(lease: int) -> Iterator[int]:
    """Return the epochs of a lease, above those of all earlier ones.

    :param lease: version at which the lead was taken.
    """
    return itertools.count(lease * _EPOCHS_PER_LEASE + 1)


class Peer(NamedTuple):
    """Where a daemon is reached, as ``host:port``, and where it stands."""

    address: str
    datacentre: str


class Lease:
    """The one row that lasts; its version at taking makes the epochs.

    :param service: the table service.
    :param name: this daemon.
    :param here: where other daemons reach it.
    :param now: the clock.
    :param log: told of each change of the leader.
    :ivar held: version at which this daemon took the lead, or 0.
    :ivar leader: the daemon that leads, as far as is known.
    :ivar newest: the highest lease that was heard of.
    :ivar company: tells whether most daemons were heard just now.
    :ivar renewed_at: monotonic ms of the last answer of the store, or None.
    :ivar peer_by_name: where all daemons are reached, this one too.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        name: str,
        own_peer: Peer,
        now: clock.Clock,
        log: decisionlog.DecisionLog,
    ) -> None:
        self._service = service
        self._name = name
        self._clock = now
        self._log = log
        self._row: rows.Row | None = None
        self._row_changed_at: clock.Ms = 0
        self._write_count = 0
        self._registered = False
        self._own_peer = own_peer
        self._leader_heard_at: clock.Ms | None = None
        self._scanned_at: clock.Ms | None = None
        self._acquired_at: clock.Ms | None = None
        self._reported_daemons = 0
        self.renewed_at: clock.Ms | None = None
        self._suspended = False
        self.has_majority: Callable[[], bool] = lambda: False
        self.held = 0
        self.leader = ""
        self.newest = 0
        self.peer_by_name: dict[str, Peer] = {name: own_peer}

    def step(self) -> None:
        """Renew, look or take; a failure leaves everything as it is."""
        if self.held and self._row is not None:
            self._renew()
            recently_acquired = not self._has_elapsed(
                self._acquired_at, _NEW_LEADER_TIME
            )
            if not self._has_elapsed(
                self._scanned_at,
                _NEW_LEADER_SCAN_INTERVAL
                if recently_acquired
                else _SCAN_INTERVAL,
            ):
                return
        elif self.has_recent_leader:
            if not self._has_elapsed(self._scanned_at, _SCAN_INTERVAL):
                return
        found = self._service.scan(TABLE)
        if not isinstance(found, rows.Scan):
            return
        self._apply_scan(found)
        if self.held:
            return
        if self._has_lapsed() and not self.has_recent_leader:
            self._acquire()

    @property
    def is_renewed(self) -> bool:
        """Tell whether this daemon may speak as the leader.

        One that can't reach the store reads an old list.  It goes silent,
        so that another takes the lead, and goes on planning only as long as
        no other has.
        """
        if not self.held or self.renewed_at is None:
            return False
        return self._clock.now() - self.renewed_at < _RENEWAL_TIMEOUT

    @property
    def has_recent_leader(self) -> bool:
        """Tell whether another daemon said just now that it leads."""
        return not self.held and not self._has_elapsed(
            self._leader_heard_at, _LEADER_TIMEOUT
        )

    def may_act(self) -> bool:
        """Tell whether this daemon may give orders now.

        While the store is away for all, nobody else can take the lead, and
        repairs go on as long as most daemons are in sight.  A leader that is
        cut off from them too may have been followed by another, which closes
        what it would open; it acts again only after it has renewed.
        """
        if self.is_renewed:
            self._suspended = False
        elif not self.has_majority():
            self._suspended = True
        return bool(self.held) and not self._suspended

    @property
    def daemon_count(self) -> int:
        """Return how many daemons are known."""
        return max(1, len(self.peer_by_name))

    def observe_leader(self, name: str, lease: int, daemons: int = 0) -> bool:
        """Take in that a daemon says it leads; tell whether it is believed.

        :param name: the daemon.
        :param lease: version at which it took the lead.
        :param daemons: how many it knows; with more than before the list is
            read once more, so that all rank the same daemons.
        """
        if lease < self.newest:
            return False
        if daemons > max(self._reported_daemons, len(self.peer_by_name)):
            self._reported_daemons = daemons
            self._scanned_at = None
        self.newest, self.leader = lease, name
        self._leader_heard_at = self._clock.now()
        if self.held and lease > self.held:
            self._row = None
            self._lose("a newer leader was heard")
        return True

    def add_peer(self, name: str, peer: Peer) -> None:
        """Take in that a daemon has started.

        :param name: the daemon.
        :param peer: where it is reached.
        """
        self.peer_by_name[name] = peer

    def resign(self) -> None:
        """Let another daemon take the lead at once."""
        if self.held:
            self._write("")
            self._lose("resigned")

    def _has_elapsed(self, at: clock.Ms | None, span: clock.Ms) -> bool:
        return at is None or self._clock.now() - at >= span

    def _apply_scan(self, found: rows.Scan) -> None:
        now = self._clock.now()
        self._scanned_at = now
        row_by_key = {row.key: row for row in found.rows}
        for key, row in row_by_key.items():
            if key.startswith(_DAEMON_PREFIX):
                self._record_peer(key[len(_DAEMON_PREFIX) :], row)
        if not self._registered:
            self._register()
        if self.held:
            return
        row = row_by_key.get(_LEADER_KEY)
        self.leader = row.value.get("holder", "") if row else ""
        known = self._row.version if self._row else None
        if row is None or row.version != known:
            self._row_changed_at = now
        self._row = row

    def _record_peer(self, name: str, row: rows.Row) -> None:
        peer = row.value.get("address"), row.value.get("datacentre")
        # Its own place a daemon knows better than a row of an earlier start.
        if name != self._name and all(isinstance(p, str) for p in peer):
            self.peer_by_name[name] = Peer(*peer)

    def _register(self) -> None:
        key = f"{_DAEMON_PREFIX}{self._name}"
        write = rows.Write(TABLE, key, self._own_peer._asdict())
        done = self._service.commit(rows.Transaction(key, (), (write,)))
        self._registered = isinstance(done, rows.Committed)

    def _has_lapsed(self) -> bool:
        if self._row is None:
            return True
        holder = self._row.value.get("holder")
        if not holder or holder == self._name:
            # Given up, or taken by this daemon before it started again.
            return True
        return self._clock.now() - self._row_changed_at >= _LEASE_DURATION

    def _acquire(self) -> None:
        done = self._write(self._name)
        if isinstance(done, rows.Committed):
            self.held = self.newest = done.revision
            self._acquired_at = self._clock.now()
            self.leader = self._name
            self._log.change("lead taken", lease=self.held)

    def _renew(self) -> None:
        done = self._write(self._name)
        if isinstance(done, rows.Conflict):
            self._row = None
            self._lose("another daemon took it")
        elif isinstance(done, missing.AnswerLost):
            self._read_back()

    def _read_back(self) -> None:
        found = self._service.read(TABLE, _LEADER_KEY)
        if not isinstance(found, rows.Row):
            return
        if found.value.get("holder") == self._name:
            self._row = found
        else:
            self._row = None
            self._lose("another daemon took it")

    def _write(self, holder: str) -> rows.CommitResult:
        self._write_count += 1
        version = self._row.version if self._row else rows.NO_ROW
        value = {"holder": holder, "turn": self._write_count}
        done = self._service.commit(
            rows.Transaction(
                f"{self._name}/{self._write_count}",
                (rows.Condition(TABLE, _LEADER_KEY, version),),
                (rows.Write(TABLE, _LEADER_KEY, value),),
            )
        )
        if isinstance(done, rows.Committed):
            self._row = rows.Row(TABLE, _LEADER_KEY, value, done.revision)
            self._row_changed_at = self.renewed_at = self._clock.now()
        return done

    def _lose(self, why: str) -> None:
        self._log.change("lead lost", lease=self.held, why=why)
        self.held = 0
