"""Choice of the daemon that relays to an upstream."""

from collections.abc import Collection
import random
from typing import NamedTuple

from citronvalve.model import clock

#: Time for which a daemon that could not relay is not asked again.
_AVOID_TIME: clock.Ms = 1_000

#: Time for which it is asked only if no other one can be.
_DISTRUST_TIME: clock.Ms = 10_000

#: Time for which one is avoided that had no room: its load changes sooner.
_BUSY_AVOID_TIME: clock.Ms = 200

#: A daemon that relayed within this time shows that links exist elsewhere.
_PROVEN_TIME: clock.Ms = 3_000

#: Data that a daemon relayed within this time shows that it is not silent.
_ACTIVITY_WINDOW: clock.Ms = 300


class Relay(NamedTuple):
    """A daemon that may relay: its name, address and data centre."""

    name: str
    address: str
    datacentre: str


class RelayChoice:
    """Spreads relayed connections over the daemons that have links.

    Its tables are as large as the number of daemons that were asked.

    :param datacentre: this daemon's data centre, preferred to others: bytes
        between data centres cost more.
    :param rng: random source.
    """

    def __init__(self, datacentre: str, rng: random.Random) -> None:
        self._datacentre = datacentre
        self._rng = rng
        self._avoid_until_by_name: dict[str, clock.Ms] = {}
        self._distrusted_until_by_name: dict[str, clock.Ms] = {}
        self._open_by_name: dict[str, int] = {}
        self._worked_at_by_name: dict[str, clock.Ms] = {}

    def choose(
        self, relays: Collection[Relay], asked: set[str], now: clock.Ms
    ) -> Relay | None:
        """Choose the relay with the fewest connections of this daemon.

        :param relays: the other daemons.
        :param asked: names of those asked already.
        :param now: monotonic ms.
        """
        usable = [
            relay
            for relay in relays
            if relay.name not in asked and self._is_usable(relay.name, now)
        ]
        return min(usable, key=lambda r: self._rank(r, now), default=None)

    def is_proven(self, now: clock.Ms) -> bool:
        """Return whether another daemon has shown lately that it has links.

        :param now: monotonic ms.
        """
        at = max(self._worked_at_by_name.values(), default=None)
        return at is not None and now - at < _PROVEN_TIME

    def record_worked(self, name: str, now: clock.Ms) -> None:
        """Record that a daemon has shown that it has links.

        :param name: the daemon.
        :param now: monotonic ms.
        """
        self._worked_at_by_name[name] = now
        self._distrusted_until_by_name.pop(name, None)

    def record_silence(self, name: str, now: clock.Ms) -> None:
        """Record that one connection through a daemon went silent.

        :param name: the daemon; it is avoided unless others are active.
        :param now: monotonic ms.
        """
        at = self._worked_at_by_name.get(name)
        if at is None or now - at >= _ACTIVITY_WINDOW:
            self.record_refusal(name, now, busy=False)

    def record_open(self, name: str) -> None:
        """Record a connection to a daemon.

        :param name: the daemon.
        """
        self._open_by_name[name] = self._open_by_name.get(name, 0) + 1

    def record_closed(self, name: str) -> None:
        """Record the end of a connection through a daemon.

        :param name: the daemon.
        """
        self._open_by_name[name] -= 1
        if not self._open_by_name[name]:
            del self._open_by_name[name]

    def record_refusal(self, name: str, now: clock.Ms, busy: bool) -> None:
        """Record that a daemon could not relay.

        :param name: the daemon.
        :param now: monotonic ms.
        :param busy: whether it only had no room.
        """
        if busy:
            self._avoid_until_by_name[name] = now + _BUSY_AVOID_TIME
            return
        self._avoid_until_by_name[name] = now + _AVOID_TIME
        self._distrusted_until_by_name[name] = now + _DISTRUST_TIME

    def _is_usable(self, name: str, now: clock.Ms) -> bool:
        return self._avoid_until_by_name.get(name, 0) <= now

    def _rank(
        self, relay: Relay, now: clock.Ms
    ) -> tuple[bool, bool, int, float]:
        return (
            self._distrusted_until_by_name.get(relay.name, 0) > now,
            relay.datacentre != self._datacentre,
            self._open_by_name.get(relay.name, 0),
            self._rng.random(),
        )
