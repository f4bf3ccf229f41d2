"""Which daemon of a data centre passes news on to the others there."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.peers import rendezvous

#: Up to this many daemons tell each other directly: 132 messages a period in
#: place of 24 through keepers, each of them fresh.  Of 82 daemons that would
#: be 6,642, which took more processor than all their requests.
_MAX_DIRECT_DAEMONS = 12

#: A daemon that was heard this lately is in sight; each speaks at least twice
#: in it.
REACHABLE_FOR: clock.Ms = 1_000

#: Between two tries to reach one that ranks higher, so that the others gather
#: at the highest that lives: at once when the keeper is lost, and within
#: seconds when it is back.
_PROBE_INTERVAL: clock.Ms = 250


class Topology:
    """Knows the keeper of its own data centre and of the others.

    The daemons of a data centre rank alike by rendezvous hashing, and each
    takes the highest that it has heard lately for the keeper, or itself.
    Two keepers for a moment do no harm: each passes on what it knows.

    :param name: this daemon.
    :param datacentre: where it stands.
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
        """Take in which daemons there are.

        :param datacentre_by_name: all of them, with this one.
        """
        if len(datacentre_by_name) == self._daemon_count:
            return
        self._daemon_count = len(datacentre_by_name)
        members: dict[str, list[str]] = {self._datacentre: []}
        for name, datacentre in datacentre_by_name.items():
            members.setdefault(datacentre, []).append(name)
        self._ranked_by_datacentre = {
            place: rendezvous.rank(place, names)
            for place, names in members.items()
        }

    @property
    def is_direct(self) -> bool:
        """Tell whether every daemon tells every other one."""
        return self._daemon_count <= _MAX_DIRECT_DAEMONS

    @property
    def size(self) -> int:
        """Return how many daemons of this data centre there are."""
        return len(self._ranked_by_datacentre[self._datacentre])

    @property
    def fan_out(self) -> int:
        """Return to how many daemons at most one passes the same news on."""
        if self.is_direct:
            return self._daemon_count - 1
        return max(map(len, self._ranked_by_datacentre.values()))

    @property
    def local_peers(self) -> list[str]:
        """Return the other daemons of this data centre."""
        return [
            n
            for n in self._ranked_by_datacentre[self._datacentre]
            if n != self._name
        ]

    def record_contact(self, name: str, now: clock.Ms) -> None:
        """Note that a daemon has spoken to this one.

        :param name: the daemon.
        :param now: monotonic ms.
        """
        self._heard_at_by_name[name] = now

    def record_report(self, name: str, now: clock.Ms) -> None:
        """Note that a daemon takes this one for the keeper.

        :param name: the daemon.
        :param now: monotonic ms.
        """
        self._reported_at_by_name[name] = now

    def reachable_count(self, now: clock.Ms) -> int:
        """Return how many other daemons have spoken to this one lately.

        :param now: monotonic ms.
        """
        return sum(
            now - at < REACHABLE_FOR for at in self._heard_at_by_name.values()
        )

    def is_coordinator(self, now: clock.Ms) -> bool:
        """Tell whether this daemon takes itself for the keeper.

        :param now: monotonic ms.
        """
        return self.coordinator(now) == self._name

    def coordinator(self, now: clock.Ms) -> str:
        """Return who passes news on in this data centre.

        :param now: monotonic ms.
        """
        for name in self._ranked_by_datacentre[self._datacentre]:
            if name == self._name or self._is_reachable(name, now):
                return name
        return self._name

    def reporters(self, now: clock.Ms) -> list[str]:
        """Return the daemons that this one passes news on to.

        :param now: monotonic ms.
        """
        return [
            name
            for name, at in self._reported_at_by_name.items()
            if now - at < REACHABLE_FOR
        ]

    def report_targets(self, now: clock.Ms) -> list[str]:
        """Return whom to report to: the keeper, and at times one above it.

        :param now: monotonic ms.
        """
        ranked = self._ranked_by_datacentre[self._datacentre]
        keeper = self.coordinator(now)
        found = [] if keeper == self._name else [keeper]
        higher = ranked[: ranked.index(keeper)] if keeper in ranked else ranked
        return found + self._probe(self._datacentre, higher, now)

    def remote_targets(self, now: clock.Ms) -> list[str]:
        """Return one daemon of each other data centre, its keeper if known.

        :param now: monotonic ms.
        """
        found = []
        for place, ranked in self._ranked_by_datacentre.items():
            if place == self._datacentre:
                continue
            known = [n for n in ranked if self._is_reachable(n, now)]
            found += known[:1] or self._probe(place, ranked, now)
        return found

    def _is_reachable(self, name: str, now: clock.Ms) -> bool:
        at = self._heard_at_by_name.get(name)
        return at is not None and now - at < REACHABLE_FOR

    def _probe(
        self, place: str, candidates: list[str], now: clock.Ms
    ) -> list[str]:
        turn, at = self._last_probe_by_datacentre.get(
            place, (0, now - _PROBE_INTERVAL)
        )
        if not candidates or now - at < _PROBE_INTERVAL:
            return []
        self._last_probe_by_datacentre[place] = turn + 1, now
        return [candidates[turn % len(candidates)]]
