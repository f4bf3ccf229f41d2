"""Exchange with other daemons of the rates that upstreams have named."""

from collections.abc import Callable

from citronvalve.daemon import repeatedexchange
from citronvalve.forward import environment as environments
from citronvalve.forward import limiter as limiters
from citronvalve.peers import messages
from citronvalve.policy import upstreamlimits
from citronvalve.replicas import lease as leases


class LimitExchange(repeatedexchange.RepeatedExchange):
    """Brings limits to all daemons, and knows which of them share a limit.

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
        broadcast: Callable[[messages.Broadcast], None],
        send: repeatedexchange.Send,
    ) -> None:
        super().__init__(env, lease, broadcast, send)
        self._limiter = limiter
        self.is_reachable: Callable[[str], bool] = lambda _: True

    def start(self) -> None:
        self._update_members()
        super().start()

    def repeat(self) -> None:
        self._update_members()
        super().repeat()

    def known(self) -> set[str]:
        limits = self._limiter.limits
        return {*limits.limit_by_upstream, *limits.ended_at_by_upstream}

    def encode(self, upstreams: set[str]) -> messages.LimitReport:
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

    def on_limits(self, message: messages.LimitReport) -> None:
        """Record what another daemon knows.

        :param message: as received.
        """
        now = self._env.clock.now()
        for upstream, rate, age, heard_age in message.limits:
            self.drop_change(upstream)
            limit = upstreamlimits.Limit(rate, now - age, now - heard_age)
            self._limiter.record_limit(upstream, limit, "elsewhere")
        for upstream, age in message.ends:
            self.drop_change(upstream)
            self._limiter.record_end(
                upstream, now - age, "another daemon says so"
            )

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
