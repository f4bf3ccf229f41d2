"""The lease of the daemon that leads the replica groups."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import hostport
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice

TABLE = "citronvalve"
_LEADER_KEY = "leader"
_DAEMON_PREFIX = "daemon/"

#: Time between two renewals by the holder, and two scans by the others.
RENEW_INTERVAL: clock.Ms = 1_000

#: A lease that has not been renewed for this long may be acquired, which
#: allows for one lost renewal.  Two leaders at once would only waste work:
#: runners reject an epoch lower than one they have seen.
_LEASE_DURATION: clock.Ms = 1_900

#: A leader that was heard of within this time is not looked up in the store.
_LEADER_TIMEOUT: clock.Ms = 1_000

#: A leader that could not renew for this long stops announcing itself.
_RENEWAL_TIMEOUT: clock.Ms = 2_200

#: Longest time between two scans by the leader, which refresh the list of
#: daemons, and by a follower, which gets the list from the leader.
_SCAN_INTERVAL: clock.Ms = 10_000
_FOLLOWER_SCAN_INTERVAL: clock.Ms = 120_000

#: A follower that still knows fewer daemons than the leader after this time
#: scans the store itself.
_MEMBERS_TIMEOUT: clock.Ms = 2_000

#: Daemons that look for a free lease at once.  The next ones in rank follow
#: if those have failed, too.
_CANDIDATES_AT_ONCE = 3
_CANDIDATE_DELAY: clock.Ms = 400
_MAX_CANDIDATE_DELAY: clock.Ms = 6_000

#: Time between two scans for a while after a daemon has become the leader,
#: since daemons register one after the other at the start.
_NEW_LEADER_SCAN_INTERVAL: clock.Ms = 1_000
_NEW_LEADER_TIME: clock.Ms = 5_000


#: Number of epochs of one lease; a leader forms far fewer groups.
_EPOCHS_PER_LEASE = 100_000


def epochs(lease: int) -> Iterator[int]:
    """Return the epochs of a lease, above those of all earlier leases.

    :param lease: version at which the lease was acquired.
    """
    return itertools.count(lease * _EPOCHS_PER_LEASE + 1)


class Peer(NamedTuple):
    """A daemon's address, as ``host:port``, and its data centre.

    ``relay`` is the address at which it relays requests, empty if it doesn't.
    """

    address: str
    datacentre: str
    relay: str = ""


class Lease:
    """Acquires and renews the leader lease, a row of the store.

    The row's version when the lease was acquired determines the epochs.

    :param service: the table service.
    :param name: name of this daemon.
    :param own_peer: address of this daemon.
    :param now: the clock.
    :param log: records each change of the leader.
    :ivar held: version at which this daemon acquired the lease, or 0.
    :ivar leader: name of the leader as last known, or empty.
    :ivar newest: the highest lease version heard of.
    :ivar rank: returns this daemon's place among the candidates for the lead,
        from 0, by the daemons that it knows.
    :ivar is_store_away: returns whether this daemon's last reads of the store
        failed; only the first candidates then look for a free lease.
    :ivar has_majority: returns whether most daemons were heard recently.
    :ivar on_row: called with each row of another kind that is read.
    :ivar renewed_at: ms of the last write of the lease, including
        suspensions, or None.
    :ivar own_peer: the same as the parameter.
    :ivar peer_by_name: addresses of all daemons, including this one.
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
        self._left_out: set[str] = set()
        self.own_peer = own_peer
        self._leader_heard_at: clock.Ms | None = None
        self._scanned_at: clock.Ms | None = None
        self._acquired_at: clock.Ms | None = None
        self._leaderless_since: clock.Ms | None = None
        self._lacking_since: clock.Ms | None = None
        self.renewed_at: clock.Ms | None = None
        self._tried_at: clock.Ms = 0
        self._suspended = False
        self.has_majority: Callable[[], bool] = lambda: False
        self.rank: Callable[[], int] = lambda: 0
        self.is_store_away: Callable[[], bool] = lambda: False
        self.on_row: Callable[[rows.Row], None] = lambda _: None
        self.held = 0
        self.leader = ""
        self.newest = 0
        self.peer_by_name: dict[str, Peer] = {name: own_peer}

    def step(self) -> None:
        """Renew the lease, or scan the store and acquire it if it is free.

        A failure of the store changes nothing.
        """
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
        elif not self._is_scan_due():
            return
        found = self._service.scan(TABLE)
        if not isinstance(found, rows.Scan):
            return
        self._apply_scan(found)
        if self.held or self.has_recent_leader:
            return
        if self._has_lapsed() and self._may_claim():
            self._acquire()

    @property
    def has_scanned(self) -> bool:
        """Return whether the daemons' rows have been read."""
        return self._scanned_at is not None

    @property
    def lacks_members(self) -> bool:
        """Return whether the leader knows more daemons than this one."""
        return self._lacking_since is not None

    def _is_scan_due(self) -> bool:
        now = self._clock.now()
        if self._scanned_at is None:
            return True
        if not self.has_recent_leader:
            if self._leaderless_since is None:
                self._leaderless_since = now
            return self._may_claim()
        self._leaderless_since = None
        if self._lacking_since is not None and self._has_elapsed(
            self._lacking_since, _MEMBERS_TIMEOUT
        ):
            self._lacking_since = None
            return True
        return self._has_elapsed(self._scanned_at, _FOLLOWER_SCAN_INTERVAL)

    def _may_claim(self) -> bool:
        """Return whether this daemon is among the candidates for the lead.

        If all daemons looked for the lease, each loss of a leader would cost
        as many calls as there are daemons, and as many conflicts.
        """
        if self._row is not None and self._is_own(self._row):
            return True
        delay = self.rank() // _CANDIDATES_AT_ONCE * _CANDIDATE_DELAY
        if not delay:
            return True
        if self.is_store_away():
            # Those before it in rank have failed as well, and need not be
            # dead.
            return False
        since = self._leaderless_since
        return since is not None and self._has_elapsed(
            since, min(delay, _MAX_CANDIDATE_DELAY)
        )

    @property
    def condition(self) -> rows.Condition:
        """Return the condition that the row is as this daemon knows it."""
        version = self._row.version if self._row else rows.NO_ROW
        return rows.Condition(TABLE, _LEADER_KEY, version)

    @property
    def is_renewed(self) -> bool:
        """Return whether this daemon leads and has renewed recently.

        A leader that can't reach the store has an old list.  It must not
        announce itself, so that another daemon can become the leader; until
        then it goes on planning.
        """
        if not self.held or self.renewed_at is None:
            return False
        return self._clock.boot() - self.renewed_at < _RENEWAL_TIMEOUT

    @property
    def has_recent_leader(self) -> bool:
        """Return whether another daemon announced recently that it leads."""
        return self.has_heard_leader_within(_LEADER_TIMEOUT)

    def has_heard_leader_within(self, span: clock.Ms) -> bool:
        """Return whether another daemon announced lately that it leads.

        :param span: ms in which it did.
        """
        return not self.held and not self._has_elapsed(
            self._leader_heard_at, span
        )

    def may_act(self) -> bool:
        """Return whether this daemon may give orders now.

        While no daemon can reach the store, nobody else can become the
        leader, so repairs go on as long as most daemons are reachable.  A
        leader cut off from them too, or one that stood still instead of
        trying to renew, may have a successor, which closes groups that it
        would open; it acts again only after a renewal.
        """
        if self.is_renewed:
            self._suspended = False
        elif not self._has_tried_to_renew or not self.has_majority():
            self._suspended = True
        return bool(self.held) and not self._suspended

    @property
    def _has_tried_to_renew(self) -> bool:
        return self.renewed_at is not None and self._tried_at > self.renewed_at

    @property
    def daemon_count(self) -> int:
        """Return the number of known daemons."""
        return max(1, len(self.peer_by_name))

    def observe_leader(self, name: str, lease: int, daemons: int = 0) -> bool:
        """Record that a daemon claims to lead; return False if outdated.

        :param name: the daemon.
        :param lease: version at which it acquired the lease.
        :param daemons: number of daemons it knows.  If it is higher than
            here, the list of daemons is incomplete.
        """
        if lease < self.newest:
            return False
        if daemons <= len(self.peer_by_name):
            self._lacking_since = None
        elif self._lacking_since is None:
            self._lacking_since = self._clock.now()
        self.newest, self.leader = lease, name
        self._leader_heard_at = self._clock.now()
        if self.held and lease > self.held:
            self._row = None
            self._lose("a leader with a newer lease was heard")
        return True

    def add_peer(self, name: str, peer: Peer) -> None:
        """Record that a daemon has started.

        :param name: the daemon.
        :param peer: its address.
        """
        if _is_usable(peer):
            self.peer_by_name[name] = peer

    def add_peers(self, peer_by_name: dict[str, Peer]) -> None:
        """Record the daemons that the leader knows.

        :param peer_by_name: their addresses.
        """
        others = {
            name: peer
            for name, peer in peer_by_name.items()
            if name != self._name and _is_usable(peer)
        }
        self.peer_by_name.update(others)
        self._lacking_since = None

    def resign(self) -> None:
        """Release the lease, so that another daemon can acquire it at once."""
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
            elif key != _LEADER_KEY:
                self.on_row(row)
        if not self._registered:
            own = row_by_key.get(f"{_DAEMON_PREFIX}{self._name}")
            # A restarted daemon mostly has the address that it had.
            self._registered = (
                own is not None and own.value == self.own_peer._asdict()
            )
        if not self._registered:
            self._register()
        if self.held:
            return
        row = row_by_key.get(_LEADER_KEY)
        self.leader = str(row.value.get("holder", "")) if row else ""
        known = self._row.version if self._row else None
        if row is None or row.version != known:
            self._row_changed_at = now
        self._row = row

    def _record_peer(self, name: str, row: rows.Row) -> None:
        # The row of this daemon may be from an earlier start.
        if name == self._name:
            return
        peer = _to_peer(row.value)
        if peer is not None:
            self._left_out.discard(name)
            self.peer_by_name[name] = peer
        elif name not in self._left_out:
            self._left_out.add(name)
            why = "it has no address that can be connected to"
            self._log.change("entry left out", key=row.key, why=why)

    def _register(self) -> None:
        key = f"{_DAEMON_PREFIX}{self._name}"
        write = rows.Write(TABLE, key, self.own_peer._asdict())
        done = self._service.commit(rows.Transaction(key, (), (write,)))
        self._registered = isinstance(done, rows.Committed)

    def _has_lapsed(self) -> bool:
        if self._row is None:
            return True
        if not self._row.value.get("holder") or self._is_own(self._row):
            return True
        return self._clock.now() - self._row_changed_at >= _LEASE_DURATION

    def _is_own(self, row: rows.Row) -> bool:
        """Return whether this daemon acquired the lease before a restart."""
        return row.value.get("holder") == self._name

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
            self._lose("another daemon acquired the lease")
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
            self._lose("another daemon acquired the lease")

    def _write(self, holder: str) -> rows.CommitResult:
        self._write_count += 1
        self._tried_at = self._clock.boot()
        value = {"holder": holder, "turn": self._write_count}
        done = self._service.commit(
            rows.Transaction(
                f"{self._name}/{self._write_count}",
                (self.condition,),
                (rows.Write(TABLE, _LEADER_KEY, value),),
            )
        )
        if isinstance(done, rows.Committed):
            self._row = rows.Row(TABLE, _LEADER_KEY, value, done.revision)
            self._row_changed_at = self._clock.now()
            self.renewed_at = self._clock.boot()
        return done

    def _lose(self, why: str) -> None:
        self._log.change("lead lost", lease=self.held, why=why)
        self.held = 0


def _to_peer(value: dict[str, Any]) -> Peer | None:
    """Return the daemon that a row names, None if it can't be connected to.

    :param value: the row's.
    """
    fields = value | {"relay": value.get("relay", "")}
    texts = [fields.get(name) for name in Peer._fields]
    if not all(isinstance(text, str) for text in texts):
        return None
    peer = Peer(*map(str, texts))
    return peer if _is_usable(peer) else None


def _is_usable(peer: Peer) -> bool:
    """Return whether a daemon's addresses can be connected to.

    :param peer: as another daemon wrote it.
    """
    addresses = filter(None, (peer.address, peer.relay))
    return bool(peer.address) and all(map(hostport.parse, addresses))
