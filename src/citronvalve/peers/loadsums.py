"""Sums of the requests that daemons have at upstreams."""

import collections
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import messages

#: What a daemon told counts for so long; it tells the same again in it.
_VALIDITY: clock.Ms = 1_000


class _Reported(NamedTuple):
    counts: messages.RequestCounts
    daemons: int
    at: clock.Ms


class LoadSums:
    """What a keeper was told, by daemon and by other data centre."""

    def __init__(self) -> None:
        self._reported_by_daemon: dict[str, _Reported] = {}
        self._reported_by_datacentre: dict[str, _Reported] = {}

    def record_daemon(
        self, name: str, counts: messages.RequestCounts, now: clock.Ms
    ) -> None:
        """Take in a daemon's own requests.

        :param name: the daemon, of this data centre.
        :param counts: its requests.
        :param now: monotonic ms.
        """
        self._reported_by_daemon[name] = _Reported(counts, 1, now)

    def record_datacentre(
        self, totals: messages.DatacentreLoads, now: clock.Ms
    ) -> None:
        """Take in the requests of another data centre's daemons.

        :param totals: as its keeper tells them.
        :param now: monotonic ms.
        """
        told = _Reported(totals.by_upstream, totals.daemons, now)
        self._reported_by_datacentre[totals.datacentre] = told

    def local(self, now: clock.Ms) -> tuple[int, messages.RequestCounts]:
        """Return how many daemons here were heard, and their requests.

        :param now: monotonic ms.
        """
        return _sum(self._recent(self._reported_by_daemon, now).values())

    def remote(self, now: clock.Ms) -> tuple[int, messages.RequestCounts]:
        """Return the same of the other data centres.

        :param now: monotonic ms.
        """
        return _sum(self._recent(self._reported_by_datacentre, now).values())

    def excluding(
        self, name: str, now: clock.Ms
    ) -> tuple[int, messages.RequestCounts]:
        """Return how many daemons were heard, and all requests but one's.

        :param name: the daemon that is left out.
        :param now: monotonic ms.
        """
        here = self._recent(self._reported_by_daemon, now)
        here.pop(name, None)
        far = self._recent(self._reported_by_datacentre, now)
        return _sum([*here.values(), *far.values()])

    def _recent(
        self, told: dict[str, _Reported], now: clock.Ms
    ) -> dict[str, _Reported]:
        for key in [k for k, v in told.items() if now - v.at >= _VALIDITY]:
            del told[key]
        return dict(told)


def _sum(
    told: collections.abc.Iterable[_Reported],
) -> tuple[int, messages.RequestCounts]:
    daemons = 0
    counts: messages.RequestCounts = {}
    for one in told:
        daemons += one.daemons
        for upstream, (count, late) in one.counts.items():
            held = counts.get(upstream, (0, 0))
            counts[upstream] = held[0] + count, held[1] + late
    return daemons, counts
