"""Task that exchanges messages about the platform with other daemons."""

from collections.abc import Callable
from collections.abc import Iterable

import eventlet

from citronvalve.daemon import crashexchange
from citronvalve.daemon import loadbroadcaster
from citronvalve.daemon import newcomers
from citronvalve.daemon import supervision
from citronvalve.daemon import tablemessages
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.peers import distributor as distributors
from citronvalve.peers import messagecodec
from citronvalve.peers import messages
from citronvalve.peers import peersettings
from citronvalve.peers import rendezvous
from citronvalve.peers import sockets as sockets_
from citronvalve.policy import crashsuspects
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows

#: Interval between the heartbeats of the leader, which state how far it has
#: read.  A heartbeat is valid for 1.5 s, so that a configuration change is in
#: force within two seconds even if the leader is killed as it arrives.
_HEARTBEAT_INTERVAL: clock.Ms = 300

#: After this time without a leader's heartbeat, coordinators read the tables:
#: before what the leader confirmed last expires for all daemons at once.
_READER_TIMEOUT: clock.Ms = 650

#: Hellos sent after the set of daemons changes: the first message to a peer
#: is lost while the socket connects.
_HELLO_COUNT = 3

#: Time after the start within which a daemon and the others have exchanged
#: messages.
_DISCOVERY_TIME: clock.Ms = 1_000

#: Key by which daemons are ranked as candidates for the lead.
_LEAD_KEY = "lead"

#: A daemon that is not heard for this time takes no part in shared limits.
_MEMBER_TIMEOUT: clock.Ms = 3_000

#: Larger messages are not sent; daemons that miss changes read the table.
_MAX_MESSAGE_BYTES = 90_000

#: Bounds the rate of changes to a fifth of the slowest network link, 20
#: Mbit/s: a configuration that changes many times a second would otherwise
#: saturate the coordinators' links and delay each version by seconds.
_BROADCAST_BYTES_PER_MS = 500


class MessageTask:
    """Distributes what the leader reads, so that one daemon reads for all.

    If each daemon followed the tables itself, the store would serve as many
    calls as there are daemons, all with the same response.

    :param env: the daemon's environment.
    :param address: host:port at which other daemons reach this one.
    :param lease: the leader lease and the known daemons.
    :param loads: the loads that are sent and received.
    :ivar tables: makes and applies messages about the followed tables.
    :ivar load_broadcaster: sends the load of upstreams.
    :ivar on_stall: called with the id of a stalled upstream.
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
        self._newcomers = newcomers.Newcomers(
            env, address, lease, self.tables, self._codec, self._send_data
        )
        self._handler_by_type: dict[type, Callable] = {
            messages.Hello: self._on_hello,
            messages.Members: self._on_members,
            messages.Heartbeat: self.tables.on_heartbeat,
            messages.TableChanges: self.tables.on_changes,
            messages.FullTableRequest: self._on_table_request,
            messages.TableRows: self.tables.on_rows,
            # From an older release; it names no start, and is not counted.
            messages.Crash: lambda _: None,
            messages.Stall: self._on_stall,
            messages.DaemonLoads: self._on_daemon_loads,
            messages.DatacentreLoads: self._on_datacentre_loads,
            messages.OtherLoads: self._on_other_loads,
            messages.Relayed: self._on_relayed,
        }
        self._on_contact: Callable[[], None] = lambda: None
        self._distributor = distributors.Distributor(
            env.name, env.datacentre, loads
        )
        self.load_broadcaster = loadbroadcaster.LoadBroadcaster(
            env, loads, self._distributor, self._send_all
        )
        self._announced_tables: set[str] = set()
        self._known_count = 0
        self._started_at = env.clock.now()
        self._hellos_due = 0
        self.on_stall: Callable[[str], None] = lambda _: None

    def start(self, tables_wait: clock.Ms, is_restart: bool) -> None:
        """Open the sockets and start the tasks.

        :param tables_wait: ms for which other daemons may send the first
            rows of the followed tables.
        :param is_restart: whether the system has run before.
        """
        self._sockets.bind()
        self._newcomers.is_restart = is_restart
        self._newcomers.expect_tables(tables_wait)
        supervision.spawn(self._env, "messages", self._receive)
        supervision.spawn(self._env, "heartbeats", self._send_heartbeats)
        supervision.spawn(
            self._env, "newcomers", self._newcomers.request_tables
        )
        self.load_broadcaster.start()

    def close(self) -> None:
        """Close the sockets."""
        self._sockets.close()

    def broadcast_changes(
        self, table: str, base: int, scan: rows.Scan
    ) -> clock.Ms:
        """Send the result of a table read, if this daemon reads for others.

        :param table: the table's name.
        :param base: revision after which the rows changed.
        :param scan: the rows that were read.
        :returns: ms for which further changes should be batched.
        """
        lease = self._lease.held if self._lease.is_renewed else 0
        if not self.is_reader():
            return 0
        size = 0
        if scan.rows or scan.deleted:
            size = self._send_changes(lease, table, base, scan)
        if not lease and table not in self._announced_tables:
            # The confirmations of the lost leader are about to expire.
            self._announced_tables.add(table)
            self._broadcast_locally(self.tables.make_heartbeat(0))
        # Each coordinator forwards it to all daemons of its data centre.
        return (
            size
            * self._distributor.topology.fan_out
            // _BROADCAST_BYTES_PER_MS
        )

    def _send_changes(
        self, lease: int, table: str, base: int, scan: rows.Scan
    ) -> int:
        """Send changes of a table; return the size of the message."""
        changes = self.tables.make_changes(lease, table, base, scan)
        if lease:
            self.broadcast(changes)
        else:
            self._broadcast_locally(changes)
        return len(self._codec.encode(changes))

    def is_reader(self) -> bool:
        """Return whether this daemon reads the tables for others.

        The leader reads for all.  While there is no leader, as at the start
        and after it was killed, the coordinator of each data centre reads for
        that data centre; it is known once the daemons have exchanged
        messages.  A daemon that hears no other one reads for itself only.
        """
        if self._lease.is_renewed:
            return True
        now = self._env.clock.now()
        if (
            self._lease.has_heard_leader_within(_READER_TIMEOUT)
            or now - self._started_at < _DISCOVERY_TIME
        ):
            return False
        if not self._distributor.reachable_count(now):
            return False
        return self._distributor.topology.is_coordinator(now)

    def broadcast_stall(self, upstream: str) -> None:
        """Report a stalled upstream to all daemons.

        The leader probes it; the others send it no requests meanwhile.

        :param upstream: the upstream's id.
        """
        if self._lease.held:
            self.on_stall(upstream)
        self.broadcast(messages.Stall(upstream))

    def send_to(self, name: str, message: messages.Message) -> None:
        """Send a message to a daemon, if it is known.

        :param name: the daemon's name.
        :param message: the message.
        """
        self._send_all([distributors.Outgoing(name, message)])

    def request_full_update(self, table: str) -> None:
        """Ask the leader for a full update of a table.

        :param table: the table's name.
        """
        if self._lease.has_recent_leader:
            wanted = messages.FullTableRequest(self._env.name, table)
            self._send_all([distributors.Outgoing(self._lease.leader, wanted)])

    def exchange_crashes(
        self, suspects: crashsuspects.CrashSuspects
    ) -> crashexchange.CrashExchange:
        """Return the exchange of evidence about crashes, for its messages.

        :param suspects: the evidence.
        """
        exchange = crashexchange.CrashExchange(
            self._env,
            self._address,
            self._lease,
            suspects,
            self.broadcast,
            self.send_message,
        )
        self._handler_by_type |= {
            messages.CrashEvidence: exchange.on_evidence,
            messages.CrashEvidenceRequest: exchange.on_request,
        }
        self._on_contact = exchange.record_contact
        return exchange

    def register(
        self, kind: type, handle: Callable[[messages.Message], None]
    ) -> None:
        """Set what takes in the messages of a type.

        :param kind: the type.
        :param handle: called with each message.
        """
        self._handler_by_type[kind] = handle

    def may_reach(self, name: str) -> bool:
        """Return whether a daemon was heard lately, or would not be heard.

        :param name: the daemon's name.
        """
        topology, now = self._distributor.topology, self._env.clock.now()
        return not topology.is_direct or topology.is_heard(
            name, _MEMBER_TIMEOUT, now
        )

    def lead_rank(self) -> int:
        """Return this daemon's place among the candidates for the lead."""
        names = self._lease.peer_by_name.keys() - {self._lease.leader}
        ranked = rendezvous.rank(_LEAD_KEY, names | {self._env.name})
        return ranked.index(self._env.name)

    def hears_majority(self) -> bool:
        """Return whether most of the other daemons are reachable."""
        others = len(self._lease.peer_by_name) - 1
        heard = self._distributor.reachable_count(self._env.clock.now())
        return 2 * heard > others or not others

    def _receive(self) -> None:
        while True:
            message = self._codec.decode(self._sockets.receive())
            if isinstance(message, missing.Missing):
                self._env.log.change("news unreadable", why=message.reason)
                continue
            self._on_contact()
            self._handler_by_type[type(message)](message)
            # A socket that always has another message would starve the
            # other tasks.
            eventlet.sleep(0)

    def _send_heartbeats(self) -> None:
        while True:
            self._update_peers()
            if self._lease.is_renewed:
                self.broadcast(self.tables.make_heartbeat(self._lease.held))
            elif self.is_reader():
                self._broadcast_locally(self.tables.make_heartbeat(0))
            else:
                self._announced_tables.clear()
            eventlet.sleep(_HEARTBEAT_INTERVAL / clock.SECOND)

    def _update_peers(self) -> None:
        peers = self._lease.peer_by_name
        if len(peers) != self._known_count:
            self._known_count = len(peers)
            self._hellos_due = _HELLO_COUNT
            self._distributor.set_daemons(
                {name: peer.datacentre for name, peer in peers.items()}
            )
        if self._lease.lacks_members:
            request = self._newcomers.make_request(leases.TABLE)
            self._send_all(
                [distributors.Outgoing(self._lease.leader, request)]
            )
        if self._hellos_due:
            self._hellos_due -= 1
            self.broadcast(
                messages.Hello(
                    self._env.name,
                    self._address,
                    self._env.datacentre,
                    self._lease.own_peer.relay,
                )
            )

    def broadcast(self, item: messages.Broadcast) -> None:
        """Send a message to all daemons.

        :param item: the message.
        """
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
            # Consecutive entries mostly carry the same message.
            if message is not last:
                last, data = message, self._codec.encode(message)
            if peer is not None:
                self._send_data(peer.address, data)

    def send_message(self, address: str, message: messages.Message) -> None:
        """Send a message to an address.

        :param address: host:port.
        :param message: the message.
        """
        self._send_data(address, self._codec.encode(message))

    def _send_data(self, address: str, data: bytes) -> None:
        if len(data) <= _MAX_MESSAGE_BYTES:
            self._sockets.send(f"tcp://{address}", data)

    def _on_hello(self, message: messages.Hello) -> None:
        self._add_peer(message)

    def _add_peer(
        self, message: messages.Hello | messages.FullTableRequest
    ) -> None:
        peer = leases.Peer(message.address, message.datacentre, message.relay)
        self._lease.add_peer(message.name, peer)

    def _on_table_request(self, message: messages.FullTableRequest) -> None:
        if not message.address:
            self.tables.on_full_request(message)
            return
        self._add_peer(message)
        if message.table == leases.TABLE:
            self._send_members(message)
        else:
            self._newcomers.on_request(message)

    def _send_members(self, message: messages.FullTableRequest) -> None:
        peers = self._lease.peer_by_name.items()
        members = messages.Members(
            {name: (peer.address, peer.datacentre) for name, peer in peers},
            {name: peer.relay for name, peer in peers if peer.relay},
        )
        self._send_all([distributors.Outgoing(message.name, members)])

    def _on_members(self, message: messages.Members) -> None:
        self._lease.add_peers(
            {
                name: leases.Peer(*peer, message.relay_by_name.get(name, ""))
                for name, peer in message.by_name.items()
            }
        )

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
