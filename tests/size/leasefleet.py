"""Many daemons' leases before one store; the leader's word reaches all."""

import collections
import random
import threading

from citronvalve.model import manualclock
from citronvalve.model import missing
from citronvalve.peers import rendezvous
from citronvalve.replicas import lease
from citronvalve.storage import tableservice
from standins import memorytable
from tests import quietlog

_TICK = 50
_HEARTBEAT_INTERVAL = 300
_START_SPREAD = 300


class CountingStore(tableservice.TableService):
    """One daemon's calls, counted; during an outage all fail at once."""

    def __init__(self, store, outage, calls_by_name, name):
        self._store = store
        self._outage = outage
        self._calls_by_name = calls_by_name
        self._name = name

    def read(self, table, key):
        """Read a row."""
        self._calls_by_name[self._name] += 1
        if self._outage.is_set():
            return missing.Unavailable("reset")
        return self._store.read(table, key)

    def scan(self, table, after=0):
        """Read all rows."""
        self._calls_by_name[self._name] += 1
        if self._outage.is_set():
            return missing.Unavailable("reset")
        return self._store.scan(table, after)

    def commit(self, transaction):
        """Commit a transaction."""
        self._calls_by_name[self._name] += 1
        if self._outage.is_set():
            return missing.Unavailable("reset")
        return self._store.commit(transaction)


class LeaseFleet:
    """Daemons that start within 0.3 s and renew or look once a second."""

    def __init__(self, count):
        self.clock = manualclock.ManualClock()
        self.clock.advance(100_000)
        self._store = memorytable.MemoryTable()
        self.outage = threading.Event()
        self.calls_by_name = collections.Counter()
        self.rng = random.Random(count)
        self.lease_by_name = {}
        self.due_by_name = {}
        for number in range(count):
            self.start(f"d-{number}")

    def start(self, name):
        """Start or restart a daemon."""
        made = lease.Lease(
            CountingStore(self._store, self.outage, self.calls_by_name, name),
            name,
            lease.Peer(f"addr-{name}:1", "place"),
            self.clock,
            quietlog.QuietLog(),
        )
        made.rank = lambda: self._rank(name)
        made.is_store_away = self.outage.is_set
        self.lease_by_name[name] = made
        offset = self.rng.randrange(0, _START_SPREAD, _TICK)
        self.due_by_name[name] = self.clock.now() + offset

    def kill(self, names):
        """Kill daemons."""
        for name in names:
            del self.lease_by_name[name]

    def leaders(self):
        """Return the daemons that hold the lease."""
        return [n for n, one in self.lease_by_name.items() if one.held]

    def run(self, span):
        """Run for some ms."""
        end = self.clock.now() + span
        while self.clock.now() < end:
            for name, one in list(self.lease_by_name.items()):
                if self.clock.now() >= self.due_by_name[name]:
                    self.due_by_name[name] += lease.RENEW_INTERVAL
                    one.step()
            if not self.clock.now() % _HEARTBEAT_INTERVAL:
                self._announce()
            self.clock.advance(_TICK)

    def _rank(self, name):
        one = self.lease_by_name[name]
        names = one.peer_by_name.keys() - {one.leader}
        return rendezvous.rank("lead", names | {name}).index(name)

    def _announce(self):
        for name, leader in self.lease_by_name.items():
            if not leader.is_renewed:
                continue
            for other_name, other in self.lease_by_name.items():
                if other_name == name:
                    continue
                other.observe_leader(name, leader.held, leader.daemon_count)
                if other.lacks_members:
                    other.add_peers(leader.peer_by_name)
