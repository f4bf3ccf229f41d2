"""What a daemon does about its own links to the upstreams, and others'."""

from collections.abc import Callable

from citronvalve.daemon import entrysettings
from citronvalve.daemon import processlimits
from citronvalve.forward import connectionpool
from citronvalve.forward import connector as connectors
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import linkchecker
from citronvalve.forward import relayserver
from citronvalve.forward import rests as rests_
from citronvalve.forward import stalldetector
from citronvalve.model import clock
from citronvalve.policy import links as links_
from citronvalve.policy import relaychoice
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import lease as leases

#: A leader without links to the upstreams resigns after this time: each
#: change of the leader delays repairs by a second or two.
_RESIGN_DELAY: clock.Ms = 1_000


class LinkTask:
    """Opens connections, watches the links and relays for other daemons.

    :param env: the daemon's environment.
    :param settings: its settings.
    :param directory: the upstreams.
    :param loads: the upstreams' loads.
    :ivar connector: opens connections to upstreams.
    :ivar pool: keeps them.
    :ivar lease: the leader lease and the known daemons, or None before they
        are known.
    :raises errors.SettingsError: when the address for relayed requests can't
        be bound.
    """

    def __init__(
        self,
        env: environments.Environment,
        settings: entrysettings.EntrySettings,
        directory: directories.Directory,
        loads: upstreamchoice.LoadTable,
    ) -> None:
        self._env = env
        self._region = settings.region
        self._loads = loads
        self.lease: leases.Lease | None = None
        self.connector = connectors.Connector(
            env, links_.Links(env.datacentre)
        )
        self.connector.on_opening = env.metrics.record_opening
        self.connector.on_relaying = env.metrics.record_relaying
        self.connector.relays = self._relays
        self.connector.datacentres = directory.datacentres
        self.connector.on_cut = self._on_cut
        self.pool = connectionpool.ConnectionPool(env.clock, self.connector)
        self._checker = linkchecker.LinkChecker(
            env, directory, self.connector, self.pool
        )
        self.connector.on_lost = self._checker.confirm
        self._server: relayserver.RelayServer | None = None
        if settings.relay:
            self._server = relayserver.RelayServer(
                settings.relay,
                env,
                directory,
                self.connector,
                processlimits.relayed(settings.connections),
            )

    def attach(self, detector: stalldetector.StallDetector) -> None:
        """Let a detector ask whether a silence is the link's.

        :param detector: the daemon's.
        """
        detector.is_lost = self._checker.is_lost
        detector.is_doubted = self._checker.is_doubted

    def heed(self, rests: rests_.Rests) -> None:
        """Relay nothing to upstreams that want no request from this VM.

        :param rests: how long they want none.
        """
        if self._server is not None:
            self._server.rest_left = rests.rest_left

    def start(self) -> None:
        """Start the tasks."""
        self._checker.start()
        if self._server is not None:
            self._server.start()

    def close(self) -> None:
        """End what is relayed for other daemons."""
        if self._server is not None:
            self._server.close()

    @property
    def relaying(self) -> int:
        """Return the number of requests that are relayed for others."""
        return self._server.count if self._server else 0

    def set_gauges(self, set_gauge: Callable[[str, str, float], None]) -> None:
        """Set the gauges.

        :param set_gauge: takes a name, a description and a value.
        """
        is_cut = float(self.connector.links.is_cut)
        set_gauge("links_cut", "Whether it reaches no upstream.", is_cut)
        set_gauge("relaying", "Requests for other daemons.", self.relaying)

    def lead_rank(self, rank: int) -> int:
        """Return this daemon's place among the candidates for the lead.

        One that reaches no upstream can't give orders; it comes last.

        :param rank: its place by name.
        """
        if not self.connector.links.is_cut or self.lease is None:
            return rank
        return rank + self.lease.daemon_count

    def resign_if_cut(self) -> None:
        """Leave the lead to a daemon that can give orders."""
        links = self.connector.links
        if self.lease is None or not self.lease.held or not links.is_cut:
            return
        cut_for = self._env.clock.now() - (links.changed_at or 0)
        is_lasting = cut_for >= _RESIGN_DELAY
        if is_lasting and self.connector.is_relaying_proven():
            self.lease.resign()

    def _relays(self) -> list[relaychoice.Relay]:
        """Return the other daemons of the region that may relay requests."""
        if self.lease is None:
            return []
        return [
            relaychoice.Relay(name, peer.relay, peer.datacentre)
            for name, peer in self.lease.peer_by_name.items()
            if peer.relay
            and name != self._env.name
            and (not self._region or peer.datacentre in self._region)
        ]

    def _on_cut(self) -> None:
        # What failed until now may have failed by the links.
        for load in self._loads.load_by_upstream.values():
            load.reset_failures()
