"""The task that owns the sockets to a daemon's peers."""

import eventlet
import logbook

from citronvalve.model import clock
from citronvalve.peers import authenticator
from citronvalve.peers import outgoing
from citronvalve.peers import peer as peers
from citronvalve.peers import sockets

_log = logbook.Logger(__name__)

#: Ticks between two checks for idle connections.
_IDLE_CHECK_INTERVAL_TICKS = 80


class PeerTask:
    """Moves messages between a peer and the network on two green threads.

    Neither yields while it handles or sends a message, so no other task sees
    the peer's state in the middle of a change.

    :param peer: what to connect.
    :param clock_: the clock.
    """

    def __init__(self, peer: peers.Peer, clock_: clock.Clock) -> None:
        self._peer = peer
        self._clock = clock_
        self._sockets = sockets.Sockets(peer.settings, clock_)
        self._authenticator: authenticator.Authenticator | None = None
        self._threads: list = []
        self.received = 0
        self.sent = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def start(self) -> None:
        """Listen and start to look for peers."""
        settings = self._peer.settings
        if settings.secret_key:
            self._authenticator = authenticator.Authenticator(
                self._sockets.context,
                (settings.public_key, *settings.allowed_keys),
            )
        self._sockets.bind()
        self._threads = [
            eventlet.spawn(self._receive),
            eventlet.spawn(self._tick),
        ]

    def stop(self) -> None:
        """Announce the leave and close the sockets."""
        for thread in self._threads:
            thread.kill()
        self._send(self._peer.core.leave())
        if self._authenticator is not None:
            self._authenticator.close()
        self._sockets.close()

    def dropped(self) -> dict[str, int]:
        """Return how many messages were dropped, by reason."""
        dropped = self._peer.codec.dropped_by_reason.copy()
        dropped.update(self._sockets.dropped_by_reason)
        if self._authenticator is not None:
            dropped["unknown key"] += self._authenticator.refused
        return dict(dropped)

    def _receive(self) -> None:
        while True:
            data = self._sockets.receive()
            self.received += 1
            self.received_bytes += len(data)
            message = self._peer.codec.decode(data)
            if message:
                self._send(self._peer.core.handle(message))
            # Yields, since a socket that always has messages would keep all
            # other tasks of the daemon waiting.
            eventlet.sleep(0)

    def _tick(self) -> None:
        interval = self._peer.settings.timing.tick_interval / clock.SECOND
        ticks = 0
        while True:
            self._send(self._peer.core.tick())
            ticks += 1
            if ticks % _IDLE_CHECK_INTERVAL_TICKS == 0:
                self._sockets.close_idle()
            eventlet.sleep(interval)

    def _send(self, out: list[outgoing.Outgoing]) -> None:
        sender = self._peer.core.sender
        for address, message in out:
            data = self._peer.codec.encode(sender, message)
            if self._sockets.send(address, data):
                self.sent += 1
                self.sent_bytes += len(data)
