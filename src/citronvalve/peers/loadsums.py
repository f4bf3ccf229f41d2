"""Sums of the requests of daemons at upstreams."""

import collections
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import messages
from citronvalve.policy import loaddetails

#: Reported counts are valid this long; daemons report again within it.
_VALIDITY: clock.Ms = 1_000


class _Reported(NamedTuple):
    counts: messages.RequestCounts
    daemons: int
    at: clock.Ms
    details: loaddetails.LoadDetails
    sequence: int = 0


class LoadSum(NamedTuple):
    """The number of daemons, their requests and the details."""

    daemons: int
    counts: messages.RequestCounts
    details: loaddetails.LoadDetails


class LoadSums:
    """The counts reported by daemons and by other data centres."""

    def __init__(self) -> None:
        self._reported_by_daemon: dict[str, _Reported] = {}
        self._reported_by_datacentre: dict[str, _Reported] = {}

    def record_daemon(
        self,
        name: str,
        counts: messages.RequestCounts,
        now: clock.Ms,
        sequence: int = 0,
        details: loaddetails.LoadDetails = loaddetails.NONE,
    ) -> None:
        """Record a daemon's own requests.

        :param name: the daemon, of this data centre.
        :param counts: its requests.
        :param now: monotonic ms.
        :param sequence: number of the report, 0 from an older release.
        :param details: of the requests.
        """
        self._reported_by_daemon[name] = _Reported(
            counts, 1, now, details, sequence
        )

    def sequences(self, now: clock.Ms) -> dict[str, int]:
        """Return the numbers of the valid reports, by daemon.

        :param now: monotonic ms.
        """
        recent = self._recent(self._reported_by_daemon, now)
        return {
            name: report.sequence
            for name, report in recent.items()
            if report.sequence
        }

    def everywhere(self, now: clock.Ms) -> LoadSum:
        """Return the number and the requests of all daemons.

        :param now: monotonic ms.
        """
        local = self._recent(self._reported_by_daemon, now)
        remote = self._recent(self._reported_by_datacentre, now)
        return _sum([*local.values(), *remote.values()])

    def record_datacentre(
        self, loads: messages.DatacentreLoads, now: clock.Ms
    ) -> None:
        """Record the requests of another data centre's daemons.

        :param loads: the sums of its coordinator.
        :param now: monotonic ms.
        """
        reported = _Reported(
            loads.by_upstream, loads.daemons, now, loads.details
        )
        self._reported_by_datacentre[loads.datacentre] = reported

    def local(self, now: clock.Ms) -> LoadSum:
        """Return the number of reporting daemons here, and their requests.

        :param now: monotonic ms.
        """
        return _sum(self._recent(self._reported_by_daemon, now).values())

    def excluding(self, name: str, now: clock.Ms) -> LoadSum:
        """Return the number and the requests of all daemons except one.

        :param name: the daemon whose requests are excluded.
        :param now: monotonic ms.
        """
        local = self._recent(self._reported_by_daemon, now)
        local.pop(name, None)
        remote = self._recent(self._reported_by_datacentre, now)
        return _sum([*local.values(), *remote.values()])

    def _recent(
        self, reported: dict[str, _Reported], now: clock.Ms
    ) -> dict[str, _Reported]:
        for key in [
            key
            for key, value in reported.items()
            if now - value.at >= _VALIDITY
        ]:
            del reported[key]
        return dict(reported)


def _sum(reported: collections.abc.Collection[_Reported]) -> LoadSum:
    daemons = 0
    counts: messages.RequestCounts = {}
    for report in reported:
        daemons += report.daemons
        for upstream, (count, late) in report.counts.items():
            total = counts.get(upstream, (0, 0))
            counts[upstream] = total[0] + count, total[1] + late
    details = loaddetails.total(report.details for report in reported)
    return LoadSum(daemons, counts, details)
