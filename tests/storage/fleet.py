"""Simulated daemons that follow a table; the leader reads it for all."""

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.peers import delays
from citronvalve.storage import rows
from citronvalve.storage import tablelistener
from citronvalve.storage import tableservice
from citronvalve.storage import tail
from standins import memorytable
from tests import quietlog
from tests.storage import simulation

TABLE = "t"

_CALL_DELAY = 8
_MESSAGE_DELAY = 3
_STATE_INTERVAL = 300
_POLL_INTERVAL = 20


class Store(memorytable.MemoryTable):
    """Table whose history of changes can be discarded."""

    def __init__(self):
        super().__init__()
        self.history_start = 0
        #: Number of "history is gone" responses to each daemon.
        self.lost_history_count_by_name = {}

    def put(self, key):
        """Write a row."""
        self._write(key, {})

    def delete(self, key):
        """Delete a row."""
        self._write(key, None)

    def discard_history(self):
        """Discard the history of all changes so far."""
        self.history_start = self._revision

    def keys(self):
        """Return the keys of all rows."""
        return {row.key for row in self.scan(TABLE).rows}

    def _write(self, key, value):
        write = rows.Write(TABLE, key, value)
        self.commit(rows.Transaction(key, (), (write,)))


class StoreClient(tableservice.TableService):
    """One daemon's client of the store; calls take time and can fail."""

    def __init__(self, store, sim, name):
        self._store = store
        self._name = name
        self._sim = sim
        self.is_rejected = False
        #: Ms from the store's response to its arrival.
        self.response_delay = _CALL_DELAY
        self.calls = 0

    def read(self, table, key):
        raise NotImplementedError

    def commit(self, transaction):
        raise NotImplementedError

    def scan(self, table, after=0):
        return self._call(lambda: self._store.scan(table))

    def follow(self, table, after, wait):
        return self._call(lambda: self._changes(table, after, wait))

    def _call(self, function):
        self.calls += 1
        self._sim.sleep(_CALL_DELAY / clock.SECOND)
        if self.is_rejected:
            return missing.Unavailable("rejected")
        result = function()
        self._sim.sleep(self.response_delay / clock.SECOND)
        return result

    def _changes(self, table, after, wait):
        deadline = self._sim.clock.now() + wait
        while True:
            if after < self._store.history_start:
                count = self._store.lost_history_count_by_name
                count[self._name] = count.get(self._name, 0) + 1
                return missing.NotFound("the history is gone")
            scan = self._store.scan(table, after)
            if scan.rows or scan.deleted:
                return scan
            if self._sim.clock.now() >= deadline:
                return scan
            self._sim.sleep(_POLL_INTERVAL / clock.SECOND)


class KeyListener(tablelistener.TableListener):
    """Keeps the keys of a daemon's rows."""

    def __init__(self, time_source):
        self.keys = set()

    def replace_all(self, found):
        """Replace all keys."""
        self.keys = {row.key for row in found}

    def apply_changes(self, found, gone):
        """Apply changes."""
        self.keys = (self.keys | {row.key for row in found}) - set(gone)


class Daemon:
    """One daemon with its rows and the task that follows the table."""

    def __init__(self, name, fleet):
        self.name = name
        self.listener = fleet.make_listener(fleet.sim.clock)
        self.store_client = StoreClient(fleet.store, fleet.sim, name)
        self.is_isolated = False
        #: Ms that messages to this daemon take.
        self.message_delay = _MESSAGE_DELAY
        self.delays = delays.DelayTracker()
        self.tail = tail.Tail(
            self.store_client,
            TABLE,
            self.listener,
            quietlog.QuietLog(),
            fleet.sim.clock,
            fleet.sim.sleep,
        )
        self.tail.is_reader = lambda: fleet.leader == name
        self.tail.on_unreadable = lambda: fleet.request_full_update(self)
        self.tail.on_read = lambda base, scan: fleet.broadcast_update(
            self, base, scan
        )


class Fleet:
    """The store, the daemons and the messages between them."""

    def __init__(self, names, keys, make_listener=KeyListener):
        self.sim = simulation.Simulation()
        self.make_listener = make_listener
        self.store = Store()
        for key in keys:
            self.store.put(key)
        self.leader = names[0]
        self.daemon_by_name = {}
        for name in names:
            self.start(name)
        self.sim.call_later(_STATE_INTERVAL, self._send_states)

    def start(self, name):
        """Start or restart a daemon."""
        daemon = Daemon(name, self)
        self.daemon_by_name[name] = daemon
        self.sim.call_later(1, lambda: self._follow(daemon))

    def broadcast_update(self, sender, base, scan):
        """Send an update that the leader has read to all other daemons."""
        if sender.name == self.leader and (scan.rows or scan.deleted):
            self._broadcast(
                sender,
                lambda other: other.tail.apply_update(base, scan, sender.name),
            )
        return 0

    def request_full_update(self, sender):
        """Request all rows of the table from the leader."""
        leader = self.daemon_by_name[self.leader]
        if (
            leader is not sender
            and not leader.is_isolated
            and not sender.is_isolated
        ):
            self.sim.call_later(
                _MESSAGE_DELAY, leader.tail.request_full_update
            )

    def mismatches(self):
        """Return, by daemon, each wrong key and whether the daemon has it."""
        keys = self.store.keys()
        return {
            name: {(key, key in held) for key in held ^ keys}
            for name, daemon in self.daemon_by_name.items()
            if (held := daemon.listener.keys) != keys
        }

    def can_read_table(self, name):
        """Return whether a daemon can reach the store or a daemon that can."""
        daemon = self.daemon_by_name[name]
        if not daemon.store_client.is_rejected:
            return True
        leader = self.daemon_by_name[self.leader]
        is_connected = (
            not daemon.is_isolated
            and not leader.is_isolated
            and daemon is not leader
        )
        return is_connected and not leader.store_client.is_rejected

    def _follow(self, daemon):
        while self.daemon_by_name[daemon.name] is daemon:
            self.sim.sleep(daemon.tail.step() / clock.SECOND)

    def _send_states(self):
        while True:
            sender = self.daemon_by_name[self.leader]
            self._broadcast_state(sender)
            self.sim.sleep(_STATE_INTERVAL / clock.SECOND)

    def _broadcast_state(self, sender):
        state = sender.tail.state()
        sent_at = self.sim.clock.now()
        if state is not None:
            self._broadcast(
                sender,
                lambda other: self._receive_state(other, state, sent_at),
            )

    def _receive_state(self, receiver, state, sent_at):
        now = self.sim.clock.now()
        delay = receiver.delays.excess_delay(self.leader, sent_at, now)
        receiver.tail.confirm(
            state._replace(age=state.age + delay), self.leader
        )

    def _broadcast(self, sender, deliver):
        for other in self.daemon_by_name.values():
            if other is sender or other.is_isolated or sender.is_isolated:
                continue
            self.sim.call_later(
                other.message_delay, lambda other=other: deliver(other)
            )
