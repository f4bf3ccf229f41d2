"""Brings news and loads to every daemon, directly or by the keepers."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loadsums
from citronvalve.peers import messages
from citronvalve.peers import topology as neighbourhoods
from citronvalve.policy import upstreamchoice
from citronvalve.policy import upstreamload

#: The same word on an upstream is passed on once in this time: all daemons
#: that wait for a replica notice at about the same moment that it stands
#: still.
_REPEAT_WINDOW: clock.Ms = 500

#: Whose requests a keeper's sum stands for among those that daemons told.
_OTHERS_KEY = "by the keeper"


class Outgoing(NamedTuple):
    """A message and the daemon that it goes to."""

    name: str
    message: messages.Message


class Distributor:
    """Decides who is told what; sends nothing itself.

    With few daemons each tells all others.  With many, each tells one
    keeper of its data centre, which tells the others there and the keepers
    elsewhere: two messages a daemon and period in place of one for each
    other daemon.

    :param name: this daemon.
    :param datacentre: where it stands.
    :param book: takes the requests of the others.
    :ivar neighbourhood: who the keepers are.
    """

    def __init__(
        self, name: str, datacentre: str, loads: upstreamchoice.LoadBook
    ) -> None:
        self._name = name
        self._datacentre = datacentre
        self._loads = loads
        self._sums = loadsums.LoadSums()
        self._reported_daemons = 0
        self._other_loads_at: clock.Ms | None = None
        self._names: list[str] = []
        self._forwarded_at_by_payload: dict[messages.Broadcast, clock.Ms] = {}
        self.topology = neighbourhoods.Topology(name, datacentre)

    def set_daemons(self, datacentre_by_name: dict[str, str]) -> None:
        """Take in which daemons there are.

        :param datacentre_by_name: all of them, with this one.
        """
        self._names = [n for n in datacentre_by_name if n != self._name]
        self.topology.set_daemons(datacentre_by_name)

    def reachable_count(self, now: clock.Ms) -> int:
        """Return how many other daemons were heard of lately.

        :param now: monotonic ms.
        """
        direct = self.topology.reachable_count(now)
        if self._other_loads_at is None:
            return direct
        lately = now - self._other_loads_at < neighbourhoods.REACHABLE_FOR
        return max(direct, self._reported_daemons if lately else 0)

    def broadcast(
        self, item: messages.Broadcast, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that bring an item to all daemons.

        :param item: the news.
        :param now: monotonic ms.
        """
        if self.topology.is_direct:
            return [Outgoing(name, item) for name in self._names]
        return self._forward(messages.Stage.UP, item, "", now)

    def broadcast_locally(
        self, item: messages.Broadcast, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that bring an item to the same data centre.

        :param item: the news.
        :param now: monotonic ms.
        """
        near = self.topology
        if near.is_direct:
            return [Outgoing(name, item) for name in near.local_peers]
        return self._relayed(near.reporters(now), messages.Stage.DOWN, item)

    def forward(
        self, message: messages.Relayed, now: clock.Ms
    ) -> list[Outgoing] | None:
        """Return how news go on, or None for what was passed on just now.

        :param message: as it came.
        :param now: monotonic ms.
        """
        self.topology.record_contact(message.sender, now)
        if self._is_repeated(message.payload, now):
            return None
        return self._forward(
            message.stage, message.payload, message.sender, now
        )

    def report_loads(
        self, counts: messages.RequestCounts, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that tell this daemon's own requests.

        :param counts: its requests.
        :param now: monotonic ms.
        """
        loads = messages.DaemonLoads(self._name, counts)
        if self.topology.is_direct:
            return [Outgoing(name, loads) for name in self._names]
        self._sums.record_daemon(self._name, counts, now)
        return [
            Outgoing(name, loads) for name in self.topology.report_targets(now)
        ]

    def load_sums(self, now: clock.Ms) -> list[Outgoing]:
        """Return the sums that a keeper tells.

        :param now: monotonic ms.
        """
        near = self.topology
        if near.is_direct:
            return []
        out = [
            Outgoing(
                name,
                messages.OtherLoads(
                    self._name, *self._sums.excluding(name, now)
                ),
            )
            for name in near.reporters(now)
        ]
        if near.is_coordinator(now):
            count, counts = self._sums.local(now)
            totals = messages.DatacentreLoads(
                self._name, self._datacentre, count, counts
            )
            out += [
                Outgoing(name, totals) for name in near.remote_targets(now)
            ]
            self._apply_own_sums(now)
        return out

    def apply_daemon_loads(
        self, message: messages.DaemonLoads, now: clock.Ms
    ) -> None:
        """Take in another daemon's own requests.

        :param message: as it came.
        :param now: monotonic ms.
        """
        near = self.topology
        near.record_contact(message.name, now)
        if near.is_direct:
            self._put(message.name, message.by_upstream, now)
            return
        near.record_report(message.name, now)
        self._sums.record_daemon(message.name, message.by_upstream, now)

    def apply_datacentre_loads(
        self, message: messages.DatacentreLoads, now: clock.Ms
    ) -> list[Outgoing]:
        """Take in another data centre's requests.

        :param message: as it came; goes on to the keeper if that is another.
        :param now: monotonic ms.
        """
        near = self.topology
        near.record_contact(message.name, now)
        self._sums.record_datacentre(message, now)
        keeper = near.coordinator(now)
        return [] if keeper == self._name else [Outgoing(keeper, message)]

    def apply_other_loads(
        self, message: messages.OtherLoads, now: clock.Ms
    ) -> None:
        """Take in the sum of the others' requests.

        :param message: as it came.
        :param now: monotonic ms.
        """
        near = self.topology
        near.record_contact(message.name, now)
        if near.is_direct or near.coordinator(now) != message.name:
            return
        self._reported_daemons = message.daemons
        self._other_loads_at = now
        self._put(_OTHERS_KEY, message.by_upstream, now)

    def _apply_own_sums(self, now: clock.Ms) -> None:
        count, counts = self._sums.excluding(self._name, now)
        self._reported_daemons = count
        self._other_loads_at = now
        self._put(_OTHERS_KEY, counts, now)

    def _put(
        self, name: str, counts: messages.RequestCounts, now: clock.Ms
    ) -> None:
        known = self._loads.load_by_upstream.keys()
        for upstream in known | counts.keys():
            count, late = counts.get(upstream, (0, 0))
            shares = self._loads.of(upstream).share_by_daemon
            shares[name] = upstreamload.Share(count, late, now)

    def _forward(
        self,
        stage: messages.Stage,
        item: messages.Broadcast,
        sender: str,
        now: clock.Ms,
    ) -> list[Outgoing]:
        near = self.topology
        keeper = near.coordinator(now)
        out = []
        if stage is not messages.Stage.DOWN:
            if keeper != self._name:
                # Who sent it takes this daemon for the keeper.
                out += self._relayed([keeper], stage, item)
            elif stage is messages.Stage.UP:
                across = near.remote_targets(now)
                out += self._relayed(across, messages.Stage.ACROSS, item)
            below = [n for n in near.reporters(now) if n != sender]
            out += self._relayed(below, messages.Stage.DOWN, item)
        return out

    def _relayed(
        self, names: list[str], stage: messages.Stage, item: messages.Broadcast
    ) -> list[Outgoing]:
        passed = messages.Relayed(self._name, stage, item)
        return [Outgoing(name, passed) for name in names]

    def _is_repeated(self, item: messages.Broadcast, now: clock.Ms) -> bool:
        if not isinstance(item, messages.Stall | messages.Crash):
            return False
        for key in [
            k
            for k, at in self._forwarded_at_by_payload.items()
            if now - at >= _REPEAT_WINDOW
        ]:
            del self._forwarded_at_by_payload[key]
        if item in self._forwarded_at_by_payload:
            return True
        self._forwarded_at_by_payload[item] = now
        return False
