"""Brings what one daemon finds out to all others."""

import abc
from collections.abc import Callable

import eventlet

from citronvalve.daemon import supervision
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import messages
from citronvalve.replicas import lease as leases

#: Longest delay of a change for each daemon of the fleet.  The first one that
#: tells it makes the others' messages superfluous.
_DELAY_PER_DAEMON: clock.Ms = 1
_MAX_DELAY: clock.Ms = 100

#: Interval at which a daemon repeats what it knows, and to how many others:
#: those that have started or were cut off learn it so.
_REPEAT_INTERVAL: clock.Ms = 500
_REPEAT_COUNT = 2

#: Upstreams in one message.
_MAX_ENTRIES = 500

Send = Callable[[str, messages.Message], None]


class RepeatedExchange(abc.ABC):
    """Broadcasts changes, and repeats all that is known to some daemons.

    :param env: the daemon's environment.
    :param lease: the known daemons.
    :param broadcast: sends a message to all daemons.
    :param send: sends a message to an address.
    """

    def __init__(
        self,
        env: environments.Environment,
        lease: leases.Lease,
        broadcast: Callable[[messages.Broadcast], None],
        send: Send,
    ) -> None:
        self._env = env
        self._lease = lease
        self._broadcast = broadcast
        self._send = send
        self._changed: set[str] = set()

    @abc.abstractmethod
    def known(self) -> set[str]:
        """Return the ids of the upstreams of which there is something."""

    @abc.abstractmethod
    def encode(self, upstreams: set[str]) -> messages.Broadcast:
        """Return a message with what is known of upstreams.

        :param upstreams: their ids.
        """

    def start(self) -> None:
        """Start the task that repeats what is known."""
        supervision.spawn(self._env, "needs", self._run)

    def send_change(self, upstream: str) -> None:
        """Inform the other daemons of a change, unless one of them does first.

        :param upstream: id of the upstream.
        """
        if not self._changed:
            longest = min(
                _DELAY_PER_DAEMON * self._env.daemon_count, _MAX_DELAY
            )
            delay = self._env.rng.uniform(0, longest) / clock.SECOND
            eventlet.spawn_after(delay, self._flush)
        self._changed.add(upstream)

    def drop_change(self, upstream: str) -> None:
        """Forget a change that another daemon has told.

        :param upstream: id of the upstream.
        """
        self._changed.discard(upstream)

    def repeat(self) -> None:
        """Send what is known to some other daemons."""
        known = self.known()
        if not known:
            return
        message = self.encode(self._some_of(known))
        others = [
            peer.address
            for name, peer in self._lease.peer_by_name.items()
            if name != self._env.name
        ]
        count = min(_REPEAT_COUNT, len(others))
        for address in self._env.rng.sample(others, count):
            self._send(address, message)

    def _run(self) -> None:
        while True:
            eventlet.sleep(_REPEAT_INTERVAL / clock.SECOND)
            self.repeat()

    def _flush(self) -> None:
        changed, self._changed = sorted(self._changed), set()
        for begin in range(0, len(changed), _MAX_ENTRIES):
            part = changed[begin : begin + _MAX_ENTRIES]
            self._broadcast(self.encode(set(part)))

    def _some_of(self, known: set[str]) -> set[str]:
        """Return as many as fit into a message; others go with a later one."""
        if len(known) <= _MAX_ENTRIES:
            return known
        return set(self._env.rng.sample(sorted(known), _MAX_ENTRIES))
