"""The task that tells other daemons of the platform, and hears from them."""

from collections.abc import Callable
from collections.abc import Iterable

import eventlet

from citronvalve.daemon import loadbroadcaster
from citronvalve.daemon import tablemessages
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.peers import distributor as distributors
from citronvalve.peers import messagecodec
from citronvalve.peers import messages
from citronvalve.peers import peersettings
from citronvalve.peers import sockets as sockets_
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows

#: How often the leader tells how far it has read.  What it read counts for
#: 1.5 s, so that a change of the configuration is in force within two seconds
#: though the leader is killed as it comes.
_HEARTBEAT_INTERVAL: clock.Ms = 300

#: Greetings to a daemon that has become known: the first message to a peer
#: is lost while it connects.
_HELLO_COUNT = 3

#: After this time a daemon that has started has been heard by the others, and
#: they by it.
_DISCOVERY_TIME: clock.Ms = 1_000

#: Larger changes are not spread: who misses them reads them itself.
_MAX_MESSAGE_BYTES = 90_000

#: Bytes a ms at which changes go out, a fifth of the smallest link met, 20
#: Mbit a second: a configuration that changes many times a second would
#: fill the keepers' links, and each version would come seconds late.
_BROADCAST_BYTES_PER_MS = 500


class MessageTask:
    """Spreads what the leader reads, so that one daemon reads for all.

    Each daemon that followed the tables itself would cost the store as many
    calls as there are daemons, all with the same answer.

    :param env: the daemon's environment.
    :param address: host:port, where other daemons reach this one.
    :param lease: who leads, and which daemons there are.
    :param book: the loads that are told and heard.
    :ivar tables: what is told of the followed tables.
    :ivar on_crash: told of a request that another daemon saw crash one.
    :ivar loads: tells the requests.
    :ivar on_standstill: told of an upstream that stands still.
    """

    def __init__(
        self,
        env: environments.Environment,
        address: str,
        lease: leases.Lease,
        loads: upstreamchoice.LoadTable,
    ) -> None:
        self._env = env
        self._lease = lease
        self._address = address
        self._sockets = sockets_.Sockets(
            peersettings.PeerSettings(
                env.name, env.datacentre, f"tcp://{address}"
            ),
            env.clock,
        )
        self._codec = messagecodec.MessageCodec()
        self.tables = tablemessages.TableMessages(env, lease)
        self._handler_by_type: dict[type, Callable] = {
            messages.Hello: self._on_hello,
            messages.Heartbeat: self.tables.on_heartbeat,
            messages.TableChanges: self.tables.on_changes,
            messages.FullTableRequest: self.tables.on_full_request,
            messages.Crash: self._on_crash,
            messages.Stall: self._on_stall,
            messages.DaemonLoads: self._on_daemon_loads,
            messages.DatacentreLoads: self._on_datacentre_loads,
            messages.OtherLoads: self._on_other_loads,
            messages.Relayed: self._on_relayed,
        }
        self.on_crash: Callable[[str, str], None] = lambda *_: None
        self._distributor = distributors.Distributor(
            env.name, env.datacentre, loads
        )
        self.load_broadcaster = loadbroadcaster.LoadBroadcaster(
            env, loads, self._distributor, self._send_all
        )
        self._known_count = 0
        self._started_at = env.clock.now()
        self._hellos_due = 0
        self.on_stall: Callable[[str], None] = lambda _: None

    def start(self) -> None:
        """Listen, and begin to tell."""
        self._sockets.bind()
        eventlet.spawn(self._receive)
        eventlet.spawn(self._send_heartbeats)
        self.load_broadcaster.start()

    def close(self) -> None:
        """Close the sockets."""
        self._sockets.close()

    def broadcast_changes(
        self, table: str, base: int, scan: rows.Scan
    ) -> clock.Ms:
        """Tell the others what was read, if they go by this daemon.

        :param table: its name.
        :param base: revision after which the rows changed.
        :param scan: what was read.
        :returns: ms in which further changes are better gathered.
        """
        lease = self._lease.held if self._lease.is_renewed else 0
        if not (scan.rows or scan.deleted) or not self.is_reader():
            return 0
        changes = self.tables.make_changes(lease, table, base, scan)
        if lease:
            self._broadcast(changes)
        else:
            self._broadcast_locally(changes)
        # Each keeper sends it on to all daemons of its data centre.
        size = len(self._codec.encode(changes))
        return (
            size
            * self._distributor.topology.fan_out
            // _BROADCAST_BYTES_PER_MS
        )

    def is_reader(self) -> bool:
        """Tell whether other daemons go by what this one reads.

        All go by the leader.  While nobody leads, as at the start and after
        the leader was killed, those of a data centre go by its keeper; who
        that is shows once they have spoken to each other.
        """
        if self._lease.is_renewed:
            return True
        now = self._env.clock.now()
        if (
            self._lease.has_recent_leader
            or now - self._started_at < _DISCOVERY_TIME
        ):
            return False
        return self._distributor.topology.is_coordinator(now)

    def broadcast_stall(self, upstream: str) -> None:
        """Tell all daemons of an upstream that stands still.

        The leader looks into it; the others send it nothing meanwhile.

        :param upstream: its id.
        """
        if self._lease.held:
            self.on_stall(upstream)
        self._broadcast(messages.Stall(upstream))

    def request_full_update(self, table: str) -> None:
        """Ask the leader to tell a whole table.

        :param table: its name.
        """
        if self._lease.has_recent_leader:
            wanted = messages.FullTableRequest(self._env.name, table)
            self._send_all([distributors.Outgoing(self._lease.leader, wanted)])

    def broadcast_crash(self, fingerprint: str, upstream: str) -> None:
        """Tell all daemons of an upstream that was lost with a request.

        :param fingerprint: the request's.
        :param upstream: its id.
        """
        self._broadcast(messages.Crash(fingerprint, upstream))

    def hears_majority(self) -> bool:
        """Tell whether most of the other daemons were heard of just now."""
        others = len(self._lease.peer_by_name) - 1
        heard = self._distributor.reachable_count(self._env.clock.now())
        return 2 * heard > others or not others

    def _receive(self) -> None:
        while True:
            message = self._codec.decode(self._sockets.receive())
            if isinstance(message, missing.Missing):
                self._env.log.change("news unreadable", why=message.reason)
                continue
            self._handler_by_type[type(message)](message)
            # A socket that always has more would keep every other task
            # of the daemon waiting.
            eventlet.sleep(0)

    def _send_heartbeats(self) -> None:
        while True:
            self._update_peers()
            if self._lease.is_renewed:
                self._broadcast(self.tables.make_heartbeat(self._lease.held))
            elif self.is_reader():
                self._broadcast_locally(self.tables.make_heartbeat(0))
            eventlet.sleep(_HEARTBEAT_INTERVAL / clock.SECOND)

    def _update_peers(self) -> None:
        peers = self._lease.peer_by_name
        if len(peers) != self._known_count:
            self._known_count = len(peers)
            self._hellos_due = _HELLO_COUNT
            self._distributor.set_daemons(
                {name: peer.datacentre for name, peer in peers.items()}
            )
        if self._hellos_due:
            self._hellos_due -= 1
            self._broadcast(
                messages.Hello(
                    self._env.name, self._address, self._env.datacentre
                )
            )

    def _broadcast(self, item: messages.Broadcast) -> None:
        now = self._env.clock.now()
        self._send_all(self._distributor.broadcast(item, now))

    def _broadcast_locally(self, item: messages.Broadcast) -> None:
        now = self._env.clock.now()
        self._send_all(self._distributor.broadcast_locally(item, now))

    def _send_all(self, out: Iterable[distributors.Outgoing]) -> None:
        peers = self._lease.peer_by_name
        last, data = None, b""
        for name, message in out:
            peer = peers.get(name)
            # The same message mostly goes to many, one after the other.
            if message is not last:
                last, data = message, self._codec.encode(message)
            if peer is not None and len(data) <= _MAX_MESSAGE_BYTES:
                self._sockets.send(f"tcp://{peer.address}", data)

    def _on_hello(self, message: messages.Hello) -> None:
        peer = leases.Peer(message.address, message.datacentre)
        self._lease.add_peer(message.name, peer)

    def _on_crash(self, message: messages.Crash) -> None:
        self.on_crash(message.fingerprint, message.upstream)

    def _on_stall(self, message: messages.Stall) -> None:
        self.on_stall(message.upstream)

    def _on_daemon_loads(self, message: messages.DaemonLoads) -> None:
        self._distributor.apply_daemon_loads(message, self._env.clock.now())

    def _on_datacentre_loads(self, message: messages.DatacentreLoads) -> None:
        now = self._env.clock.now()
        self._send_all(self._distributor.apply_datacentre_loads(message, now))

    def _on_other_loads(self, message: messages.OtherLoads) -> None:
        self._distributor.apply_other_loads(message, self._env.clock.now())

    def _on_relayed(self, message: messages.Relayed) -> None:
        now = self._env.clock.now()
        onward = self._distributor.forward(message, now)
        if onward is None:
            return
        self._send_all(onward)
        self._handler_by_type[type(message.payload)](message.payload)
