"""Relays requests for daemons that have no links to the upstreams."""

from collections.abc import Callable
import contextlib
import functools

import eventlet
from eventlet.green import socket as green_socket
import eventlet.semaphore

from citronvalve.forward import connector as connectors
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.forward import portlistener
from citronvalve.forward import relayframe
from citronvalve.forward import transport
from citronvalve.model import clock
from citronvalve.policy import memoryaccount
from citronvalve.replicas import runner as runners

_BACKLOG = 256

_READ_SIZE = 65_536

#: Requests relayed at a time.  More would take the processor time that this
#: VM's own callers need.
_MAX_REQUESTS = 128

#: Connections at a time, with those that other daemons keep.
_MAX_CONNECTIONS = 256

#: Bytes that a connection takes: two tasks and its sockets.
_CONNECTION_BYTES = 16 * 1024

_PART = memoryaccount.Part.CONNECTIONS

#: A connection on which nothing moves for this long is closed.
_IDLE_TIMEOUT: clock.Ms = 30_000

#: Two upstreams of a data centre that can't be connected to answer for the
#: others there for this time.
_CUT_VALID: clock.Ms = 200

_Kind = relayframe.FrameKind
_Reason = relayframe.Reason


class RelayServer:
    """Accepts connections of other daemons.

    Each connection reaches one upstream.  The other daemon decides on the
    request as it does on its own links; this one only checks that the
    upstream is in service, and connects directly, so that nothing is relayed
    twice.

    :param address: host:port.
    :param env: the daemon's environment.
    :param directory: the upstreams.
    :param connector: opens the connections.
    :param most: connections at a time, with those that are kept.
    :ivar rest_left: returns the ms for which an upstream wants no request
        from this VM.
    :raises errors.SettingsError: when the address can't be bound.
    """

    def __init__(
        self,
        address: str,
        env: environments.Environment,
        directory: directories.Directory,
        connector: connectors.Connector,
        most: int = _MAX_CONNECTIONS,
    ) -> None:
        self._env = env
        self._directory = directory
        self._connector = connector
        self._most = most
        # Ordered by age.
        self._connections: dict[_Connection, None] = {}
        self.rest_left: Callable[[str], clock.Ms] = lambda _: 0
        self._cut_until_by_datacentre: dict[str, clock.Ms] = {}
        self._listener = portlistener.PortListener(
            address, _BACKLOG, env, self._admit
        )

    @property
    def address(self) -> str:
        """Return host:port with the actual port, also if port 0 was given."""
        return self._listener.address

    @property
    def count(self) -> int:
        """Return the number of requests that are being relayed."""
        return sum(one.is_busy for one in self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        self._listener.start()

    def close(self) -> None:
        """Stop accepting, and close all connections."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def find_refusal(self, upstream: str) -> relayframe.Reason | None:
        """Return why no request is relayed to an upstream, or None.

        :param upstream: its id.
        """
        if self._env.stopping or not self._directory.ready:
            return _Reason.NOT_SERVING
        if self._connector.links.is_cut:
            return _Reason.NO_LINK
        if not self._directory.is_in_service(upstream):
            return _Reason.NOT_IN_SERVICE
        datacentre = self._directory.runner_by_id[upstream].datacentre
        cut_until = self._cut_until_by_datacentre.get(datacentre, 0)
        if self._env.clock.now() < cut_until:
            return _Reason.NO_LINK
        if self.rest_left(upstream):
            return _Reason.RESTING
        if self.count > _MAX_REQUESTS:
            return _Reason.BUSY
        return None

    def open(
        self, upstream: str
    ) -> transport.SocketTransport | relayframe.Reason:
        """Connect to an upstream, or return why that is impossible.

        :param upstream: its id.
        """
        runner = self._directory.runner_by_id[upstream]
        try:
            return self._connector.open_direct(connectors.target_of(runner))
        except exchangeerror.ExchangeError:
            return self._find_cause(runner)

    def _find_cause(self, failed: runners.Runner) -> relayframe.Reason:
        """Return whether an upstream or this VM's link to it is lost.

        :param failed: the upstream; another one of its data centre shows it.
        """
        other = self._directory.sample(
            self._env.rng,
            lambda runner: (
                runner.id != failed.id
                and runner.datacentre == failed.datacentre
            ),
        )
        if other is None:
            return _Reason.NO_LINK
        try:
            self._connector.open_direct(connectors.target_of(other)).close()
        except exchangeerror.ExchangeError:
            until = self._env.clock.now() + _CUT_VALID
            self._cut_until_by_datacentre[failed.datacentre] = until
            return _Reason.NO_LINK
        return _Reason.UPSTREAM_DOWN

    def _admit(self, sock: green_socket.socket) -> portlistener.Serve | None:
        if len(self._connections) >= self._most:
            self._close_longest_idle()
        if len(self._connections) >= self._most:
            self._env.log.change(
                "not accepted", why=f"{len(self._connections)} relayed"
            )
            return None
        connection = _Connection(self, self._env, transport.prepare(sock))
        self._connections[connection] = None
        self._env.memory.add(_PART, _CONNECTION_BYTES)
        return functools.partial(self._serve, connection)

    def _close_longest_idle(self) -> None:
        """Close the connection that has been without a request longest."""
        idle = (one for one in self._connections if not one.is_busy)
        longest = min(idle, key=lambda one: one.moved_at, default=None)
        if longest is not None:
            longest.close()
            # Its task ends now.
            eventlet.sleep(0)

    def _serve(self, connection: "_Connection") -> None:
        try:
            connection.run()
        finally:
            del self._connections[connection]
            self._env.memory.add(_PART, -_CONNECTION_BYTES)
            connection.close()


class _Connection:
    """One relayed connection.

    :param server: decides what is relayed.
    :param env: the daemon's environment.
    :param near: connected to the other daemon.
    :ivar moved_at: monotonic ms at which bytes last moved.
    """

    def __init__(
        self,
        server: RelayServer,
        env: environments.Environment,
        near: transport.SocketTransport,
    ) -> None:
        self._server = server
        self._env = env
        self._near = near
        self._far: transport.SocketTransport | None = None
        self._pump: eventlet.greenthread.GreenThread | None = None
        self._upstream = ""
        self._write_lock = eventlet.semaphore.Semaphore()
        self._opening: relayframe.Opening | None = None
        self._began_at: clock.Ms = 0
        self.moved_at: clock.Ms = env.clock.now()
        self._bytes_back = 0
        self._act_by_kind: dict[_Kind, Callable[[bytes], bool]] = {
            _Kind.OPEN: self._open,
            _Kind.DATA: self._send,
            _Kind.DONE: self._done,
        }

    @property
    def is_busy(self) -> bool:
        """Return whether a request was announced that has not ended."""
        return self._opening is not None

    def run(self) -> None:
        """Relay until one side closes."""
        decoder = relayframe.Decoder()
        try:
            while data := self._receive():
                for frame in decoder.feed(data):
                    if not self._act_by_kind[frame.kind](frame.content):
                        return
        except (OSError, KeyError, relayframe.FrameError) as error:
            self._end(f"{type(error).__name__}: {error}")
        else:
            self._end("the other daemon closed")

    def close(self) -> None:
        """Close both sides; the upstream ends what it runs."""
        self._end("closed")
        self._near.close()
        if self._far is not None:
            self._far.close()
        if self._pump is not None:
            self._pump.kill()

    def _receive(self) -> bytes:
        while True:
            try:
                return self._near.receive(_READ_SIZE, _IDLE_TIMEOUT)
            except TimeoutError:
                if self._env.clock.now() - self.moved_at >= _IDLE_TIMEOUT:
                    return b""

    def _open(self, content: bytes) -> bool:
        opening = relayframe.decode_opening(content)
        self._end("the next request follows")
        refused = self._server.find_refusal(opening.upstream)
        self._opening = opening
        self._began_at = self.moved_at = self._env.clock.now()
        self._bytes_back = 0
        if self._far is not None and opening.upstream != self._upstream:
            raise relayframe.FrameError("a request for another upstream")
        if refused is None and self._far is None:
            self._upstream = opening.upstream
            opened = self._server.open(opening.upstream)
            if isinstance(opened, relayframe.Reason):
                refused = opened
            else:
                self._far = opened
                self._pump = eventlet.spawn(self._pass_back, opened)
        if refused is not None:
            rest = self._server.rest_left(opening.upstream)
            is_resting = refused is _Reason.RESTING
            told = relayframe.Refusal(refused, rest if is_resting else 0)
            self._write(_Kind.REFUSED, relayframe.encode_refusal(told))
            self._end(f"refused: {refused}")
            return False
        self._write(_Kind.OPENED)
        return True

    def _write(self, kind: relayframe.FrameKind, content: bytes = b"") -> None:
        # Both tasks of the connection write frames.
        with self._write_lock:
            self._near.send(relayframe.encode(kind, content))

    def _done(self, _: bytes) -> bool:
        self._end("done")
        return True

    def _send(self, content: bytes) -> bool:
        if self._far is None:
            raise relayframe.FrameError("data before a request")
        self.moved_at = self._env.clock.now()
        self._far.send(content)
        return True

    def _pass_back(self, far: transport.SocketTransport) -> None:
        try:
            while data := far.receive(_READ_SIZE, None):
                self.moved_at = self._env.clock.now()
                self._bytes_back += len(data)
                self._write(_Kind.DATA, data)
                # An upstream that sends without end would let no task run.
                eventlet.sleep(0)
            # A response without a length may have ended by a crash meanwhile.
            is_doubtful = self._env.pauses.is_recent()
            self._write(_Kind.BROKEN if is_doubtful else _Kind.END)
        except OSError:
            with contextlib.suppress(OSError):
                self._write(_Kind.BROKEN)
        self._end("the upstream closed")

    def _end(self, why: str) -> None:
        opening, self._opening = self._opening, None
        if opening is None:
            return
        self._env.log.note(
            "relayed",
            opening.request,
            requested_by=opening.daemon,
            upstream=opening.upstream,
            bytes_back=self._bytes_back,
            took_ms=self._env.clock.now() - self._began_at,
            why=why,
        )
