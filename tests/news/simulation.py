"""In-memory daemons that exchange messages over links with a delay."""

import collections
import random

from citronvalve.peers import distributor
from citronvalve.peers import messages
from citronvalve.policy import loaddetails
from citronvalve.policy import upstreamchoice

#: Times in ms.
TICK = 10
REPORT_INTERVAL = 150
LINK_DELAY = 4


class Daemon:
    """A daemon with its own requests and counts of its messages."""

    def __init__(self, name, datacentre):
        self.name = name
        self.datacentre = datacentre
        self.loads = upstreamchoice.LoadTable()
        self.distributor = distributor.Distributor(
            name, datacentre, self.loads
        )
        self.request_counts = {}
        self.details = loaddetails.NONE
        self.received_by_payload = collections.Counter()
        self.sent_count = 0
        self.received_count = 0


class Simulation:
    """All daemons, on links that can be cut."""

    def __init__(self, count, datacentre_count):
        self.now = 100_000
        self.rng = random.Random(7)
        names = {
            f"d-{i}": f"place-{i % datacentre_count}" for i in range(count)
        }
        self.daemon_by_name = {
            name: Daemon(name, datacentre)
            for name, datacentre in names.items()
        }
        self.dead = set()
        self.cut = set()
        self._queue = []
        for daemon in self.daemon_by_name.values():
            daemon.distributor.set_daemons(names)
        # The report timers of the daemons have different phases.
        self._phase_by_name = {
            name: self.rng.randrange(0, REPORT_INTERVAL, TICK)
            for name in names
        }

    @property
    def alive(self):
        """Return the daemons that run."""
        return [
            daemon
            for name, daemon in self.daemon_by_name.items()
            if name not in self.dead
        ]

    def run(self, duration):
        """Advance the time and deliver what is due."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            self._deliver()
            for daemon in self.alive:
                if (
                    self.now - self._phase_by_name[daemon.name]
                ) % REPORT_INTERVAL:
                    continue
                out = daemon.distributor.report_loads(
                    daemon.request_counts, self.now, daemon.details
                )
                out += daemon.distributor.load_sums(self.now)
                self._send(daemon, out)

    def broadcast(self, name, payload):
        """Send a payload from one daemon to all others."""
        daemon = self.daemon_by_name[name]
        self._send(daemon, daemon.distributor.broadcast(payload, self.now))

    def coordinators(self):
        """Return the daemons that any daemon takes for its coordinator."""
        return {
            daemon.distributor.topology.coordinator(self.now)
            for daemon in self.alive
        }

    def request_total(self, daemon, upstream):
        """Return how many requests a daemon counts at an upstream."""
        load = daemon.loads.of(upstream)
        load.own = daemon.request_counts.get(upstream, (0, 0))[0]
        return load.total(self.now)

    def _send(self, daemon, out):
        for name, message in out:
            daemon.sent_count += 1
            other = self.daemon_by_name[name]
            if daemon.datacentre != other.datacentre and self.cut & {
                daemon.datacentre,
                other.datacentre,
            }:
                continue
            self._queue.append((self.now + LINK_DELAY, name, message))

    def _deliver(self):
        due = [entry for entry in self._queue if entry[0] <= self.now]
        self._queue = [entry for entry in self._queue if entry[0] > self.now]
        for _, name, message in due:
            if name not in self.dead:
                daemon = self.daemon_by_name[name]
                daemon.received_count += 1
                self._handle(daemon, message)

    def _handle(self, daemon, message):
        receiver = daemon.distributor
        if isinstance(message, messages.DaemonLoads):
            receiver.apply_daemon_loads(message, self.now)
        elif isinstance(message, messages.DatacentreLoads):
            self._send(
                daemon, receiver.apply_datacentre_loads(message, self.now)
            )
        elif isinstance(message, messages.OtherLoads):
            receiver.apply_other_loads(message, self.now)
        elif isinstance(message, messages.Relayed):
            out = receiver.forward(message, self.now)
            if out is not None:
                daemon.received_by_payload[message.payload] += 1
                self._send(daemon, out)
        else:
            daemon.received_by_payload[message] += 1
