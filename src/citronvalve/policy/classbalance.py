"""Which kinds of request yield to others while a pool is nearly full."""

from typing import NamedTuple

from citronvalve.model import clock

#: Half-life of the counts: some periods of load that comes in waves.
_HALF_LIFE: clock.Ms = 20_000

#: Counts below this tell nothing.
_MIN_ASKED = 10.0

#: How far a kind of small requests may be served more often, as a part of
#: the requests, before it yields; a kind of large ones yields until it is
#: served less often by the second.  Their sum stays below 0.05.
_SMALL_LEAD = 0.02
_LARGE_LEAD = -0.02

#: The same for a kind that is more urgent than the other.
_URGENT_LEAD = 0.1


class Kind(NamedTuple):
    """A kind of request: its route, and its urgency, of which 0 is first."""

    name: str
    urgency: int


class _Count:
    __slots__ = ("asked", "at", "cost", "served")

    def __init__(self, now: clock.Ms) -> None:
        self.asked = self.served = self.cost = 0.0
        self.at = now

    def decay(self, now: clock.Ms) -> None:
        factor = 0.5 ** ((now - self.at) / _HALF_LIFE)
        self.asked *= factor
        self.served *= factor
        self.cost *= factor
        self.at = now


class ClassBalance:
    """How often the kinds of one pool's requests are served.

    Small requests go before large ones, as more of them are served in the
    same time; how much more often is bounded, so that no kind starves.
    """

    def __init__(self) -> None:
        self._count_by_kind: dict[Kind, _Count] = {}

    def record_asked(self, kind: Kind, cost: float, now: clock.Ms) -> None:
        """Count a request that comes new.

        :param kind: its kind.
        :param cost: expected ms in a slot.
        :param now: monotonic ms.
        """
        count = self._count_by_kind.get(kind)
        if count is None:
            count = self._count_by_kind[kind] = _Count(now)
        count.decay(now)
        count.asked += 1
        count.cost += cost

    def record_served(self, kind: Kind, now: clock.Ms) -> None:
        """Count a request that is started.

        :param kind: its kind.
        :param now: monotonic ms.
        """
        count = self._count_by_kind.get(kind)
        if count is not None:
            count.decay(now)
            count.served += 1

    def must_yield(self, kind: Kind) -> bool:
        """Return whether a kind leaves the last room to others.

        :param kind: the kind.
        """
        own = self._count_by_kind.get(kind)
        if own is None or own.asked < _MIN_ASKED:
            return False
        return any(
            self._leads(kind, own, other, count)
            for other, count in self._count_by_kind.items()
            if other != kind and count.asked >= _MIN_ASKED
        )

    def _leads(
        self, kind: Kind, own: _Count, other: Kind, count: _Count
    ) -> bool:
        lead = own.served / own.asked - count.served / count.asked
        if kind.urgency < other.urgency:
            return lead > _URGENT_LEAD
        is_small = own.cost / own.asked <= count.cost / count.asked
        return lead > (_SMALL_LEAD if is_small else _LARGE_LEAD)
