"""Gives the tables to daemons that start, and asks for them at the start."""

from collections.abc import Callable
import itertools
from typing import NamedTuple

import eventlet

from citronvalve.daemon import tablemessages
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import messagecodec
from citronvalve.peers import messages
from citronvalve.peers import rendezvous
from citronvalve.replicas import lease as leases

#: Time between two requests, each to another daemon.
_REQUEST_INTERVAL: clock.Ms = 60

#: Requests without an answer after which a daemon that gives the tables to
#: others reads them from the store.
_REQUESTS = 2

#: Daemons of a data centre that give the tables to the others there.
_SOURCES = 2

#: An encoded table is sent again within this time: all daemons of a data
#: centre may start at once.
_KEPT_TIME: clock.Ms = 150


class _Encoded(NamedTuple):
    data: bytes
    at: clock.Ms


class Newcomers:
    """Transfers whole tables to daemons that start.

    If each daemon read the store when it starts, the first start of 195
    daemons would read 875 rows 195 times.  The leader gives the tables to
    two daemons of each data centre, and these to the others there.

    :param env: the daemon's environment.
    :param address: host:port at which other daemons reach this one.
    :param lease: the leader and the known daemons.
    :param tables: the followed tables.
    :param codec: encodes messages.
    :param send: sends encoded bytes to an address.
    :ivar is_restart: whether the system has run before.
    """

    def __init__(
        self,
        env: environments.Environment,
        address: str,
        lease: leases.Lease,
        tables: tablemessages.TableMessages,
        codec: messagecodec.MessageCodec,
        send: Callable[[str, bytes], None],
    ) -> None:
        self._env = env
        self._address = address
        self._lease = lease
        self._tables = tables
        self._codec = codec
        self._send = send
        self._until: clock.Ms = 0
        self.is_restart = False
        self._encoded_by_table: dict[str, _Encoded] = {}

    def expect_tables(self, wait: clock.Ms) -> None:
        """Let the followed tables wait for other daemons.

        :param wait: ms for which they do, unless there are none.
        """
        self._until = self._env.clock.now() + wait
        for tail in self._tables.tail_by_table.values():
            tail.peers_until = self._until

    def request_tables(self) -> None:
        """Ask for the tables that are unknown or miss a change."""
        for attempt in itertools.count():
            eventlet.sleep(_REQUEST_INTERVAL / clock.SECOND)
            if not self.request_once(attempt):
                return

    def request_once(self, attempt: int) -> bool:
        """Ask one daemon for the tables; return whether to go on.

        :param attempt: number of the requests so far.
        """
        if self._env.clock.now() >= self._until:
            return False
        sources = self.sources()
        if not sources and not self._lease.has_scanned:
            return True
        if not sources or self._must_read(attempt):
            # It starts alone, or gives the tables to the others.
            self.expect_tables(0)
            return False
        self._request_unknown(sources[attempt % len(sources)])
        return True

    def _must_read(self, attempt: int) -> bool:
        """Return whether this daemon reads the tables for the others.

        When all daemons restart at once none has the tables, and callers
        wait for the first that does.

        :param attempt: number of the requests so far.
        """
        return self.is_restart and attempt >= _REQUESTS and self._is_source()

    def _request_unknown(self, source: leases.Peer) -> None:
        for table, tail in self._tables.tail_by_table.items():
            if tail.expects_peers:
                request = self._codec.encode(self.make_request(table))
                self._send(source.address, request)

    def sources(self) -> list[leases.Peer]:
        """Return the daemons to ask for tables."""
        peers = self._lease.peer_by_name
        names = self._source_names()
        if self._is_source():
            names = [self._lease.leader, *names]
        return [
            peers[name]
            for name in names
            if name in peers and name != self._env.name
        ]

    def _is_source(self) -> bool:
        return self._env.name in self._source_names()

    def _source_names(self) -> list[str]:
        """Return the daemons that give tables to the others here."""
        peers = self._lease.peer_by_name
        here = self._env.datacentre
        ranked = rendezvous.rank(
            here, [n for n, peer in peers.items() if peer.datacentre == here]
        )
        return ranked[:_SOURCES]

    def make_request(self, table: str) -> messages.FullTableRequest:
        """Return a request for a table that is answered directly.

        :param table: the table's name; for that of the daemons, those that
            the receiver knows are sent.
        """
        return messages.FullTableRequest(
            self._env.name,
            table,
            self._address,
            self._env.datacentre,
            self._lease.own_peer.relay,
        )

    def on_request(self, message: messages.FullTableRequest) -> None:
        """Send all rows of a table to a daemon that starts.

        :param message: its request.
        """
        now = self._env.clock.now()
        kept = self._encoded_by_table.get(message.table)
        if kept is None or now - kept.at >= _KEPT_TIME:
            rows = self._tables.make_rows(message.table, _KEPT_TIME)
            if rows is None:
                return
            kept = _Encoded(self._codec.encode(rows), now)
            self._encoded_by_table[message.table] = kept
        self._send(message.address, kept.data)
