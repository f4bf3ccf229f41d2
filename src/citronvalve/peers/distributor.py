"""Distributes messages and loads, directly or by coordinators."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loadsums
from citronvalve.peers import messages
from citronvalve.peers import ownreports
from citronvalve.peers import topology as topologies
from citronvalve.policy import loaddetails
from citronvalve.policy import upstreamchoice

#: The same message about an upstream is forwarded once in this time, since all
#: daemons that wait for a replica detect its stall at about the same time.
_REPEAT_WINDOW: clock.Ms = 500

#: Name under which the sum by a coordinator is kept among those of daemons.
_OTHERS_KEY = "by the coordinator"


class Outgoing(NamedTuple):
    """A message and the name of its recipient."""

    name: str
    message: messages.Message


class Distributor:
    """Decides which messages go to which daemons; does no I/O.

    With few daemons each sends to all others.  With many, each sends to the
    coordinator of its data centre, which sends to the others there and to
    the coordinators elsewhere.  That takes two messages a daemon and period
    instead of one for each other daemon.

    :param name: this daemon.
    :param datacentre: its data centre.
    :param loads: gets the requests of other daemons.
    :ivar topology: knows the coordinators.
    """

    def __init__(
        self, name: str, datacentre: str, loads: upstreamchoice.LoadTable
    ) -> None:
        self._name = name
        self._datacentre = datacentre
        self._loads = loads
        self._sums = loadsums.LoadSums()
        self._own_reports = ownreports.OwnReports(name)
        self._reported_daemons = 0
        self._other_loads_at: clock.Ms | None = None
        self._peer_names: list[str] = []
        self._forwarded_at_by_payload: dict[messages.Broadcast, clock.Ms] = {}
        self.topology = topologies.Topology(name, datacentre)

    def set_daemons(self, datacentre_by_name: dict[str, str]) -> None:
        """Set the daemons of the fleet.

        :param datacentre_by_name: all daemons, with this one.
        """
        self._peer_names = [n for n in datacentre_by_name if n != self._name]
        self.topology.set_daemons(datacentre_by_name)

    def reachable_count(self, now: clock.Ms) -> int:
        """Return how many other daemons are reachable, also by relay.

        :param now: monotonic ms.
        """
        reachable = self.topology.reachable_count(now)
        if self._other_loads_at is None:
            return reachable
        is_recent = now - self._other_loads_at < topologies.REACHABLE_FOR
        return max(reachable, self._reported_daemons if is_recent else 0)

    def broadcast(
        self, payload: messages.Broadcast, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that bring a payload to all daemons.

        :param payload: the payload.
        :param now: monotonic ms.
        """
        if self.topology.is_direct:
            return [Outgoing(name, payload) for name in self._peer_names]
        return self._forward(messages.Stage.UP, payload, "", now)

    def broadcast_locally(
        self, payload: messages.Broadcast, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that bring a payload to this data centre.

        :param payload: the payload.
        :param now: monotonic ms.
        """
        topology = self.topology
        if topology.is_direct:
            return [Outgoing(name, payload) for name in topology.local_peers]
        return self._relayed(
            topology.reporters(now), messages.Stage.DOWN, payload
        )

    def forward(
        self, message: messages.Relayed, now: clock.Ms
    ) -> list[Outgoing] | None:
        """Return the messages that forward a relayed one, None if repeated.

        :param message: as received.
        :param now: monotonic ms.
        """
        self.topology.record_contact(message.sender, now)
        if self._is_repeated(message.payload, now):
            return None
        return self._forward(
            message.stage, message.payload, message.sender, now
        )

    def report_loads(
        self,
        counts: messages.RequestCounts,
        now: clock.Ms,
        details: loaddetails.LoadDetails = loaddetails.NONE,
    ) -> list[Outgoing]:
        """Return the messages that report this daemon's own requests.

        :param counts: its requests.
        :param now: monotonic ms.
        :param details: of the requests.
        """
        self._own_reports.record(counts, details)
        loads = messages.DaemonLoads(
            self._name, counts, self._own_reports.sequence, details
        )
        if self.topology.is_direct:
            return [Outgoing(name, loads) for name in self._peer_names]
        self._sums.record_daemon(self._name, counts, now, details=details)
        return [
            Outgoing(name, loads) for name in self.topology.report_targets(now)
        ]

    def load_sums(self, now: clock.Ms) -> list[Outgoing]:
        """Return the messages with the sums that a coordinator sends.

        :param now: monotonic ms.
        """
        topology = self.topology
        if topology.is_direct:
            return []
        out = self._sums_for_reporters(now)
        if topology.is_coordinator(now):
            totals = messages.DatacentreLoads(
                self._name, self._datacentre, *self._sums.local(now)
            )
            out += [
                Outgoing(name, totals) for name in topology.remote_targets(now)
            ]
            self._apply_own_sums(now)
        return out

    def _sums_for_reporters(self, now: clock.Ms) -> list[Outgoing]:
        reporters = self.topology.reporters(now)
        if not reporters:
            return []
        sequences = self._sums.sequences(now)
        everywhere = self._sums.everywhere(now)
        shared = messages.OtherLoads(
            self._name,
            everywhere.daemons,
            everywhere.counts,
            sequences,
            everywhere.details,
        )
        out = [Outgoing(name, shared) for name in reporters]
        for index, name in enumerate(reporters):
            if name not in sequences:
                # A daemon of an older release can't subtract its own part.
                own = self._sums.excluding(name, now)
                out[index] = Outgoing(
                    name,
                    messages.OtherLoads(self._name, own.daemons, own.counts),
                )
        return out

    def apply_daemon_loads(
        self, message: messages.DaemonLoads, now: clock.Ms
    ) -> None:
        """Apply another daemon's own requests.

        :param message: as received.
        :param now: monotonic ms.
        """
        topology = self.topology
        topology.record_contact(message.name, now)
        if topology.is_direct:
            self._loads.remote_loads.record(
                message.name, message.by_upstream, now, message.details
            )
            return
        topology.record_report(message.name, now)
        self._sums.record_daemon(
            message.name,
            message.by_upstream,
            now,
            message.sequence,
            message.details,
        )

    def apply_datacentre_loads(
        self, message: messages.DatacentreLoads, now: clock.Ms
    ) -> list[Outgoing]:
        """Apply another data centre's requests; return what to forward.

        :param message: as received; forwarded to the coordinator, if that is
            another daemon.
        :param now: monotonic ms.
        """
        topology = self.topology
        topology.record_contact(message.name, now)
        self._sums.record_datacentre(message, now)
        coordinator = topology.coordinator(now)
        return (
            []
            if coordinator == self._name
            else [Outgoing(coordinator, message)]
        )

    def apply_other_loads(
        self, message: messages.OtherLoads, now: clock.Ms
    ) -> None:
        """Apply the sum of the others' requests.

        :param message: as received.
        :param now: monotonic ms.
        """
        topology = self.topology
        topology.record_contact(message.name, now)
        if topology.is_direct or topology.coordinator(now) != message.name:
            return
        others = self._own_reports.without_own(message)
        if others is None:
            return
        self._apply_others(others, now)

    def _apply_own_sums(self, now: clock.Ms) -> None:
        self._apply_others(self._sums.excluding(self._name, now), now)

    def _apply_others(self, others: loadsums.LoadSum, now: clock.Ms) -> None:
        self._reported_daemons = others.daemons
        self._other_loads_at = now
        self._loads.remote_loads.record(
            _OTHERS_KEY, others.counts, now, others.details
        )

    def _forward(
        self,
        stage: messages.Stage,
        payload: messages.Broadcast,
        sender: str,
        now: clock.Ms,
    ) -> list[Outgoing]:
        topology = self.topology
        coordinator = topology.coordinator(now)
        out = []
        if stage is not messages.Stage.DOWN:
            if coordinator != self._name:
                # The sender takes this daemon for the coordinator.
                out += self._relayed([coordinator], stage, payload)
            elif stage is messages.Stage.UP:
                remote = topology.remote_targets(now)
                out += self._relayed(remote, messages.Stage.ACROSS, payload)
            reporters = [n for n in topology.reporters(now) if n != sender]
            out += self._relayed(reporters, messages.Stage.DOWN, payload)
        return out

    def _relayed(
        self,
        names: list[str],
        stage: messages.Stage,
        payload: messages.Broadcast,
    ) -> list[Outgoing]:
        relayed = messages.Relayed(self._name, stage, payload)
        return [Outgoing(name, relayed) for name in names]

    def _is_repeated(self, payload: messages.Broadcast, now: clock.Ms) -> bool:
        if not isinstance(payload, messages.Stall | messages.Crash):
            return False
        for key in [
            old
            for old, forwarded_at in self._forwarded_at_by_payload.items()
            if now - forwarded_at >= _REPEAT_WINDOW
        ]:
            del self._forwarded_at_by_payload[key]
        if payload in self._forwarded_at_by_payload:
            return True
        self._forwarded_at_by_payload[payload] = now
        return False
