"""Exchange with other daemons of the rates that upstreams have named."""

from collections.abc import Callable

import eventlet

from citronvalve.forward import environment as environments
from citronvalve.forward import limiter as limiters
from citronvalve.model import clock
from citronvalve.peers import messages
from citronvalve.policy import upstreamlimits
from citronvalve.replicas import lease as leases

#: Longest delay of a change for each daemon of the fleet.  The first one that
#: tells it makes the others' messages superfluous.
_DELAY_PER_DAEMON: clock.Ms = 1
_MAX_DELAY: clock.Ms = 100

#: Interval at which a daemon repeats what it knows, and to how many others:
#: those that have started or were cut off learn it so.
_REPEAT_INTERVAL: clock.Ms = 500
_REPEAT_COUNT = 2

#: Limits and ends in one message.
_MAX_ENTRIES = 500

Send = Callable[[str, messages.Message], None]


class LimitExchange:
    """Brings limits to all daemons, also those that missed them.

    :param env: the daemon's environment.
    :param lease: the known daemons.
    :param limiter: records the limits.
    :param broadcast: sends a message to all daemons.
    :param send: sends a message to an address.
    :ivar is_reachable: returns whether a daemon takes part in the turns.
    """

    def __init__(
        self,
        env: environments.Environment,
        lease: leases.Lease,
        limiter: limiters.Limiter,
        broadcast: Callable[[messages.LimitReport], None],
        send: Send,
    ) -> None:
        self._env = env
        self._lease = lease
        self._limiter = limiter
        self._broadcast = broadcast
        self._send = send
        self._changed: set[str] = set()
        self.is_reachable: Callable[[str], bool] = lambda _: True

    def start(self) -> None:
        """Start the task that repeats what is known."""
        self._update_members()
        eventlet.spawn(self._repeat)

    def send_change(self, upstream: str) -> None:
        """Inform the other daemons of a change, unless one of them does first.

        :param upstream: id of the upstream whose limit has changed.
        """
        if not self._changed:
            longest = min(
                _DELAY_PER_DAEMON * self._env.daemon_count, _MAX_DELAY
            )
            delay = self._env.rng.uniform(0, longest) / clock.SECOND
            eventlet.spawn_after(delay, self._flush)
        self._changed.add(upstream)

    def on_limits(self, message: messages.LimitReport) -> None:
        """Record what another daemon knows.

        :param message: as received.
        """
        now = self._env.clock.now()
        for upstream, rate, age, heard_age in message.limits:
            self._changed.discard(upstream)
            limit = upstreamlimits.Limit(rate, now - age, now - heard_age)
            self._limiter.record_limit(upstream, limit, "elsewhere")
        for upstream, age in message.ends:
            self._changed.discard(upstream)
            self._limiter.record_end(
                upstream, now - age, "another daemon says so"
            )

    def _repeat(self) -> None:
        while True:
            eventlet.sleep(_REPEAT_INTERVAL / clock.SECOND)
            self._update_members()
            limits = self._limiter.limits
            known = {*limits.limit_by_upstream, *limits.ended_at_by_upstream}
            if not known:
                continue
            message = self._encode(self._some_of(known))
            others = [
                peer.address
                for name, peer in self._lease.peer_by_name.items()
                if name != self._env.name
            ]
            count = min(_REPEAT_COUNT, len(others))
            for address in self._env.rng.sample(others, count):
                self._send(address, message)

    def _update_members(self) -> None:
        """Update the daemons that share the limits.

        A daemon that hears few of the others may be the one that is cut off,
        and must not take over their parts.
        """
        own = self._env.name
        everyone = {
            name: peer.datacentre
            for name, peer in self._lease.peer_by_name.items()
        }
        reachable = {
            name: datacentre
            for name, datacentre in everyone.items()
            if name == own or self.is_reachable(name)
        }
        is_majority = 2 * len(reachable) > len(everyone)
        self._limiter.members = upstreamlimits.members_of(
            own, reachable if is_majority else everyone
        )

    def _flush(self) -> None:
        changed, self._changed = sorted(self._changed), set()
        for begin in range(0, len(changed), _MAX_ENTRIES):
            part = changed[begin : begin + _MAX_ENTRIES]
            self._broadcast(self._encode(set(part)))

    def _some_of(self, known: set[str]) -> set[str]:
        """Return as many as fit into a message; others go with a later one."""
        if len(known) <= _MAX_ENTRIES:
            return known
        return set(self._env.rng.sample(sorted(known), _MAX_ENTRIES))

    def _encode(self, upstreams: set[str]) -> messages.LimitReport:
        limits, now = self._limiter.limits, self._env.clock.now()
        return messages.LimitReport(
            self._env.name,
            tuple(
                (one, limit.rate, now - limit.began_at, now - limit.heard_at)
                for one, limit in limits.limit_by_upstream.items()
                if one in upstreams
            ),
            tuple(
                (one, now - at)
                for one, at in limits.ended_at_by_upstream.items()
                if one in upstreams
            ),
        )
