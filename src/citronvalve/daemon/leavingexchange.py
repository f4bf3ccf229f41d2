"""Exchange with other daemons of upstreams that say that they leave."""

from collections.abc import Callable

from citronvalve.daemon import repeatedexchange
from citronvalve.forward import environment as environments
from citronvalve.forward import leaving as leaving_
from citronvalve.peers import messages
from citronvalve.replicas import lease as leases


class LeavingExchange(repeatedexchange.RepeatedExchange):
    """Brings to all daemons which upstreams leave, by their own word.

    :param env: the daemon's environment.
    :param lease: the known daemons.
    :param leaving: records them.
    :param broadcast: sends a message to all daemons.
    :param send: sends a message to an address.
    """

    def __init__(
        self,
        env: environments.Environment,
        lease: leases.Lease,
        leaving: leaving_.Leaving,
        broadcast: Callable[[messages.Broadcast], None],
        send: repeatedexchange.Send,
    ) -> None:
        super().__init__(env, lease, broadcast, send)
        self._leaving = leaving

    def known(self) -> set[str]:
        return set(self._leaving.start_by_upstream())

    def encode(self, upstreams: set[str]) -> messages.LeavingUpstreams:
        starts = self._leaving.start_by_upstream()
        return messages.LeavingUpstreams(
            self._env.name,
            {one: start for one, start in starts.items() if one in upstreams},
        )

    def on_leaving(self, message: messages.LeavingUpstreams) -> None:
        """Record what another daemon knows.

        :param message: as received.
        """
        for upstream, start_id in message.start_by_upstream.items():
            self.drop_change(upstream)
            self._leaving.record(upstream, start_id, "elsewhere")
