"""The task that tells other daemons of the platform, and hears from them."""

from collections.abc import Callable

import eventlet
import msgspec

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import news
from citronvalve.peers import peersettings
from citronvalve.peers import sockets as sockets_
from citronvalve.policy import upstreamchoice
from citronvalve.policy import upstreamload
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows
from citronvalve.storage import tail as tails

#: How often the leader tells how far it has read.  What it read counts for
#: 1.5 s, so that a change of the configuration is in force within two seconds
#: though the leader is killed as it comes.
_BEAT: clock.Ms = 300

#: How often a daemon tells its own requests.  A replica gets one every
#: 100 ms or so near what it bears, so older news show one or two too few.
_LOADS: clock.Ms = 150

#: The same while replicas are nearly full: at a load that four replicas just
#: bear, 0.78 in place of 0.69 are in time (tests/placing).
_LOADS_PRESSED: clock.Ms = 50

#: The same is told again after this time, before it counts no more.
_LOADS_SAME: clock.Ms = 450

#: A daemon that was heard this lately is in sight; each tells its requests
#: twice in it.
_IN_SIGHT: clock.Ms = 1_000

#: Larger changes are not spread: who misses them reads them itself.
_MOST_BYTES = 90_000


class NewsTask:
    """Spreads what the leader reads, so that one daemon reads for all.

    Each daemon that followed the tables itself would cost the store as many
    calls as there are daemons, all with the same answer.

    :param env: the daemon's environment.
    :param address: host:port, where other daemons reach this one.
    :param lease: who leads, and which daemons there are.
    :param book: the loads that are told and heard.
    :ivar tail_by_table: what the others' news are given to.
    :ivar on_crash: told of a request that another daemon saw crash one.
    :ivar is_pressed: tells whether replicas are nearly full.
    :ivar on_standstill: told of an upstream that stands still.
    """

    def __init__(
        self,
        env: environments.Environment,
        address: str,
        lease: leases.Lease,
        book: upstreamchoice.LoadBook,
    ) -> None:
        self._book = book
        self._env = env
        self._lease = lease
        self._address = address
        self._sockets = sockets_.Sockets(
            peersettings.PeerSettings(
                env.name, env.datacentre, f"tcp://{address}"
            ),
            env.clock,
        )
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(news.News)
        self._handler_by_type: dict[type, Callable] = {
            news.Hello: self._on_hello,
            news.Beat: self._on_beat,
            news.Changes: self._on_changes,
            news.Crash: self._on_crash,
            news.Loads: self._on_loads,
            news.Standstill: self._on_standstill,
        }
        self.on_crash: Callable[[str, str], None] = lambda *_: None
        self.is_pressed: Callable[[], bool] = lambda: False
        self._heard_at: dict[str, clock.Ms] = {}
        self._greeted: set[str] = set()
        self.tail_by_table: dict[str, tails.Tail] = {}
        self.on_standstill: Callable[[str], None] = lambda _: None

    def start(self) -> None:
        """Listen, and begin to tell."""
        self._sockets.bind()
        eventlet.spawn(self._receive)
        eventlet.spawn(self._beat)
        eventlet.spawn(self._tell_loads)

    def close(self) -> None:
        """Close the sockets."""
        self._sockets.close()

    def spread(self, table: str, base: int, scan: rows.Scan) -> None:
        """Tell the others what was read, if this daemon leads.

        :param table: its name.
        :param base: revision after which the rows changed.
        :param scan: what was read.
        """
        if not self._lease.leads or not (scan.rows or scan.deleted):
            return
        changes = news.Changes(
            self._lease.held,
            table,
            base,
            scan.revision,
            scan.rows,
            scan.deleted,
        )
        self._tell_all(changes)

    def tell_standstill(self, upstream: str) -> None:
        """Tell all daemons of an upstream that stands still.

        The leader looks into it; the others send it nothing meanwhile.

        :param upstream: its id.
        """
        if self._lease.held:
            self.on_standstill(upstream)
        self._tell_all(news.Standstill(upstream))

    def tell_crash(self, fingerprint: str, upstream: str) -> None:
        """Tell all daemons of an upstream that was lost with a request.

        :param fingerprint: the request's.
        :param upstream: its id.
        """
        self._tell_all(news.Crash(fingerprint, upstream))

    def has_company(self) -> bool:
        """Tell whether most of the other daemons were heard just now."""
        others = self._lease.address_by_name.keys() - {self._env.name}
        now = self._env.clock.now()
        heard = sum(
            now - self._heard_at.get(name, now - _IN_SIGHT) < _IN_SIGHT
            for name in others
        )
        return 2 * heard > len(others) or not others

    def _receive(self) -> None:
        while True:
            data = self._sockets.receive()
            try:
                message = self._decoder.decode(data)
            except msgspec.MsgspecError as error:
                self._env.log.change("news unreadable", why=str(error)[:200])
                continue
            self._handler_by_type[type(message)](message)
            # A socket that always has more would keep every other task
            # of the daemon waiting.
            eventlet.sleep(0)

    def _beat(self) -> None:
        while True:
            self._greet()
            if self._lease.leads:
                self._tell_all(self._own_beat())
            eventlet.sleep(_BEAT / clock.SECOND)

    def _tell_loads(self) -> None:
        told_at = 0
        last: dict[str, tuple[int, int]] = {}
        while True:
            pressed = self.is_pressed()
            pause = _LOADS_PRESSED if pressed else _LOADS
            eventlet.sleep(pause / clock.SECOND)
            now = self._env.clock.now()
            loads = {
                upstream: (held.mine, held.late)
                for upstream, held in self._book.load_by_upstream.items()
                if held.mine
            }
            if loads != last or now - told_at >= _LOADS_SAME:
                last, told_at = loads, now
                self._tell_all(news.Loads(self._env.name, loads))

    def _own_beat(self) -> news.Beat:
        now = self._env.clock.now()
        told = tuple(
            news.Told(table, tail.revision, now - tail.confirmed_at)
            for table, tail in self.tail_by_table.items()
            if tail.revision and tail.confirmed_at
        )
        return news.Beat(self._env.name, self._lease.held, told)

    def _greet(self) -> None:
        hello = news.Hello(self._env.name, self._address)
        for name, address in self._lease.address_by_name.items():
            # The first message to a peer is lost while it connects.
            if name != self._env.name and address not in self._greeted:
                if self._send(address, hello):
                    self._greeted.add(address)

    def _tell_all(self, message: news.News) -> None:
        data = self._encoder.encode(message)
        if len(data) > _MOST_BYTES:
            return
        for name, address in self._lease.address_by_name.items():
            if name != self._env.name:
                self._sockets.send(f"tcp://{address}", data)

    def _send(self, address: str, message: news.News) -> bool:
        data = self._encoder.encode(message)
        return self._sockets.send(f"tcp://{address}", data)

    def _on_hello(self, message: news.Hello) -> None:
        self._lease.greet(message.name, message.address)

    def _on_beat(self, message: news.Beat) -> None:
        if not self._lease.heard(message.name, message.lease):
            return
        for told in message.tables:
            tail = self.tail_by_table.get(told.table)
            if tail is not None:
                tail.vouch(told.revision, told.age)

    def _on_changes(self, message: news.Changes) -> None:
        tail = self.tail_by_table.get(message.table)
        if tail is None or message.lease < self._lease.newest:
            return
        tail.offer(
            message.base,
            rows.Scan(message.revision, message.rows, message.gone),
        )

    def _on_crash(self, message: news.Crash) -> None:
        self.on_crash(message.fingerprint, message.upstream)

    def _on_loads(self, message: news.Loads) -> None:
        now = self._env.clock.now()
        self._heard_at[message.name] = now
        known = self._book.load_by_upstream.keys()
        for upstream in known | message.by_upstream.keys():
            count, late = message.by_upstream.get(upstream, (0, 0))
            shares = self._book.of(upstream).share_by_daemon
            shares[message.name] = upstreamload.Share(count, late, now)

    def _on_standstill(self, message: news.Standstill) -> None:
        self.on_standstill(message.upstream)
