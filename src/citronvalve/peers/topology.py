"""Chooses the coordinators that relay messages between data centres."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.peers import rendezvous
from citronvalve.policy import roomshare

#: Up to this many daemons send to each other directly.  That takes 132
#: messages a period, instead of 24 by coordinators, but avoids the delay of a
#: relay.  82 daemons would send 6,642, which takes more CPU than all their
#: requests.
_MAX_DIRECT_DAEMONS = 12

#: A daemon is reachable this long after its last message; each daemon sends at
#: least two messages in this time.
REACHABLE_FOR: clock.Ms = 1_000

#: Time between two probes of daemons that rank higher.  By them all daemons
#: find the highest-ranked alive one: at once when a coordinator is lost, and
#: within seconds when it is back.
_PROBE_INTERVAL: clock.Ms = 250


class Topology:
    """Tracks the coordinators of this and the other data centres.

    All daemons of a data centre compute the same ranking by rendezvous
    hashing.  Each takes the highest-ranked reachable daemon, or itself, for
    the coordinator.  Two coordinators at a time do no harm, since each relays
    what it knows.

    :param name: this daemon.
    :param datacentre: its data centre.
    """

    def __init__(self, name: str, datacentre: str) -> None:
        self._name = name
        self._datacentre = datacentre
        self._daemon_count = 1
        self._ranked_by_datacentre: dict[str, list[str]] = {datacentre: [name]}
        self._heard_at_by_name: dict[str, clock.Ms] = {}
        self._reported_at_by_name: dict[str, clock.Ms] = {}
        self._last_probe_by_datacentre: dict[str, tuple[int, clock.Ms]] = {}

    def set_daemons(self, datacentre_by_name: Mapping[str, str]) -> None:
        """Set the daemons of the fleet.

        :param datacentre_by_name: all daemons, with this one.
        """
        if len(datacentre_by_name) == self._daemon_count:
            return
        self._daemon_count = len(datacentre_by_name)
        members: dict[str, list[str]] = {self._datacentre: []}
        for name, datacentre in datacentre_by_name.items():
            members.setdefault(datacentre, []).append(name)
        self._ranked_by_datacentre = {
            datacentre: rendezvous.rank(datacentre, names)
            for datacentre, names in members.items()
        }

    @property
    def is_direct(self) -> bool:
        """Return whether daemons send to each other directly."""
        return self._daemon_count <= _MAX_DIRECT_DAEMONS

    @property
    def datacentre_size(self) -> int:
        """Return the number of daemons in this data centre."""
        return len(self._ranked_by_datacentre[self._datacentre])

    @property
    def turn(self) -> roomshare.Turn:
        """Return this daemon's place in its data centre."""
        ranked = self._ranked_by_datacentre[self._datacentre]
        if self._name not in ranked:
            return roomshare.ALONE
        return roomshare.Turn(ranked.index(self._name), len(ranked))

    @property
    def fan_out(self) -> int:
        """Return to how many daemons one sends the same message at most."""
        if self.is_direct:
            return self._daemon_count - 1
        return max(map(len, self._ranked_by_datacentre.values()))

    @property
    def local_peers(self) -> list[str]:
        """Return the other daemons of this data centre."""
        return [
            name
            for name in self._ranked_by_datacentre[self._datacentre]
            if name != self._name
        ]

    def record_contact(self, name: str, now: clock.Ms) -> None:
        """Record a message from a daemon.

        :param name: the daemon.
        :param now: monotonic ms.
        """
        self._heard_at_by_name[name] = now

    def record_report(self, name: str, now: clock.Ms) -> None:
        """Record that a daemon takes this one for its coordinator.

        :param name: the daemon.
        :param now: monotonic ms.
        """
        self._reported_at_by_name[name] = now

    def reachable_count(self, now: clock.Ms) -> int:
        """Return how many other daemons are reachable.

        :param now: monotonic ms.
        """
        return sum(
            now - at < REACHABLE_FOR for at in self._heard_at_by_name.values()
        )

    def is_coordinator(self, now: clock.Ms) -> bool:
        """Return whether this daemon takes itself for the coordinator.

        :param now: monotonic ms.
        """
        return self.coordinator(now) == self._name

    def coordinator(self, now: clock.Ms) -> str:
        """Return the coordinator of this data centre.

        :param now: monotonic ms.
        """
        for name in self._ranked_by_datacentre[self._datacentre]:
            if name == self._name or self._is_reachable(name, now):
                return name
        return self._name

    def reporters(self, now: clock.Ms) -> list[str]:
        """Return the daemons that report to this one.

        :param now: monotonic ms.
        """
        return [
            name
            for name, at in self._reported_at_by_name.items()
            if now - at < REACHABLE_FOR
        ]

    def report_targets(self, now: clock.Ms) -> list[str]:
        """Return the coordinator and, at intervals, one that ranks higher.

        :param now: monotonic ms.
        """
        ranked = self._ranked_by_datacentre[self._datacentre]
        coordinator = self.coordinator(now)
        targets = [] if coordinator == self._name else [coordinator]
        higher = (
            ranked[: ranked.index(coordinator)]
            if coordinator in ranked
            else ranked
        )
        return targets + self._probe(self._datacentre, higher, now)

    def remote_targets(self, now: clock.Ms) -> list[str]:
        """Return a daemon of each other data centre, its coordinator if known.

        :param now: monotonic ms.
        """
        targets = []
        for datacentre, ranked in self._ranked_by_datacentre.items():
            if datacentre == self._datacentre:
                continue
            reachable = [
                name for name in ranked if self._is_reachable(name, now)
            ]
            targets += reachable[:1] or self._probe(datacentre, ranked, now)
        return targets

    def is_heard(self, name: str, span: clock.Ms, now: clock.Ms) -> bool:
        """Return whether a daemon was heard lately.

        :param name: the daemon.
        :param span: ms within which it was.
        :param now: monotonic ms.
        """
        at = self._heard_at_by_name.get(name)
        return at is not None and now - at < span

    def _is_reachable(self, name: str, now: clock.Ms) -> bool:
        return self.is_heard(name, REACHABLE_FOR, now)

    def _probe(
        self, datacentre: str, candidates: list[str], now: clock.Ms
    ) -> list[str]:
        probe_count, at = self._last_probe_by_datacentre.get(
            datacentre, (0, now - _PROBE_INTERVAL)
        )
        if not candidates or now - at < _PROBE_INTERVAL:
            return []
        self._last_probe_by_datacentre[datacentre] = probe_count + 1, now
        return [candidates[probe_count % len(candidates)]]
