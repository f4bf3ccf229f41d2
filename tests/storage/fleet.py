"""Daemons that follow one table, of which one reads it for the others."""

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

_CALL = 8
_HOP = 3
_BEAT = 300
_POLL = 20


class Store(memorytable.MemoryTable):
    """Rows with a history that may be forgotten."""

    def __init__(self):
        super().__init__()
        self.forgotten = 0
        #: How often each daemon was told that its history is gone.
        self.refused_history = {}

    def put(self, key):
        """Write a row."""
        self._write(key, {})

    def drop(self, key):
        """Remove a row."""
        self._write(key, None)

    def forget(self):
        """Forget all changes up to now."""
        self.forgotten = self._revision

    def keys(self):
        """Return the keys that the table holds now."""
        return {row.key for row in self.scan(TABLE).rows}

    def _write(self, key, value):
        write = rows.Write(TABLE, key, value)
        self.commit(rows.Transaction(key, (), (write,)))


class Access(tableservice.TableService):
    """One daemon's way to the store: calls take time, and may be refused."""

    def __init__(self, store, sim, name):
        self._store = store
        self._name = name
        self._sim = sim
        self.refused = False
        #: Ms that an answer stays on its way after the store has made it.
        self.way_back = _CALL
        self.calls = 0

    def read(self, table, key):
        raise NotImplementedError

    def commit(self, transaction):
        raise NotImplementedError

    def scan(self, table, after=0):
        return self._call(lambda: self._store.scan(table))

    def follow(self, table, after, wait):
        return self._call(lambda: self._changes(table, after, wait))

    def _call(self, answer):
        self.calls += 1
        self._sim.sleep(_CALL / clock.SECOND)
        if self.refused:
            return missing.Unavailable("refused")
        found = answer()
        self._sim.sleep(self.way_back / clock.SECOND)
        return found

    def _changes(self, table, after, wait):
        until = self._sim.clock.now() + wait
        while True:
            if after < self._store.forgotten:
                count = self._store.refused_history
                count[self._name] = count.get(self._name, 0) + 1
                return missing.NotFound("the history is gone")
            found = self._store.scan(table, after)
            if found.rows or found.deleted:
                return found
            if self._sim.clock.now() >= until:
                return found
            self._sim.sleep(_POLL / clock.SECOND)


class Held(tablelistener.TableListener):
    """The keys that a daemon believes in."""

    def __init__(self, now):
        self.keys = set()

    def replace_all(self, found):
        """Take all rows."""
        self.keys = {row.key for row in found}

    def apply_changes(self, found, gone):
        """Take changes."""
        self.keys = (self.keys | {row.key for row in found}) - set(gone)


class Daemon:
    """One daemon: what it holds, and the task that follows the table."""

    def __init__(self, name, fleet):
        self.name = name
        self.held = fleet.make_reader(fleet.sim.clock)
        self.access = Access(fleet.store, fleet.sim, name)
        self.cut = False
        #: Ms that messages are on their way to this daemon.
        self.hop = _HOP
        self.delays = delays.Delays()
        self.tail = tail.Tail(
            self.access,
            TABLE,
            self.held,
            quietlog.QuietLog(),
            fleet.sim.clock,
            fleet.sim.sleep,
        )
        self.tail.is_reader = lambda: fleet.leader == name
        self.tail.on_unreadable = lambda: fleet.ask(self)
        self.tail.on_read = lambda base, scan: fleet.spread(self, base, scan)


class Fleet:
    """The store, the daemons, and the links between them."""

    def __init__(self, names, keys, make_reader=Held):
        self.sim = simulation.Simulation()
        self.make_reader = make_reader
        self.store = Store()
        for key in keys:
            self.store.put(key)
        self.leader = names[0]
        self.daemon_by_name = {}
        for name in names:
            self.start(name)
        self.sim.after(_BEAT, self._beat)

    def start(self, name):
        """Start a daemon, or start it anew."""
        daemon = Daemon(name, self)
        self.daemon_by_name[name] = daemon
        self.sim.after(1, lambda: self._follow(daemon))

    def spread(self, sender, base, scan):
        """Tell all others what the leader has read."""
        if sender.name == self.leader and (scan.rows or scan.deleted):
            self._tell(
                sender,
                lambda other: other.tail.apply_update(base, scan, sender.name),
            )
        return 0

    def ask(self, sender):
        """Ask the leader for the whole table."""
        leader = self.daemon_by_name[self.leader]
        if leader is not sender and not leader.cut and not sender.cut:
            self.sim.after(_HOP, leader.tail.request_full_update)

    def wrong(self):
        """Return what daemons hold wrongly: key, and whether it is held."""
        keys = self.store.keys()
        return {
            name: {(key, key in held) for key in held ^ keys}
            for name, daemon in self.daemon_by_name.items()
            if (held := daemon.held.keys) != keys
        }

    def reaches_truth(self, name):
        """Tell whether a daemon reads the store, or hears one that does."""
        daemon = self.daemon_by_name[name]
        if not daemon.access.refused:
            return True
        leader = self.daemon_by_name[self.leader]
        told = not daemon.cut and not leader.cut and daemon is not leader
        return told and not leader.access.refused

    def _follow(self, daemon):
        while self.daemon_by_name[daemon.name] is daemon:
            self.sim.sleep(daemon.tail.step() / clock.SECOND)

    def _beat(self):
        while True:
            sender = self.daemon_by_name[self.leader]
            self._vouch(sender)
            self.sim.sleep(_BEAT / clock.SECOND)

    def _vouch(self, sender):
        told = sender.tail.state()
        sent_at = self.sim.clock.now()
        if told is not None:
            self._tell(sender, lambda other: self._heard(other, told, sent_at))

    def _heard(self, other, told, sent_at):
        now = self.sim.clock.now()
        late = other.delays.late(self.leader, sent_at, now)
        other.tail.confirm(told._replace(age=told.age + late), self.leader)

    def _tell(self, sender, act):
        for other in self.daemon_by_name.values():
            if other is sender or other.cut or sender.cut:
                continue
            self.sim.after(other.hop, lambda other=other: act(other))
