"""Requests that other daemons report, by upstream."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import loaddetails

#: How long another daemon's report is valid.  It is repeated several times
#: within this time.
_TTL: clock.Ms = 700

#: By upstream id: the number of requests there, and how many are late.
CountByUpstream = dict[str, tuple[int, int]]

_NO_REQUESTS = 0, 0


class _Report(NamedTuple):
    by_upstream: CountByUpstream
    at: clock.Ms
    details: loaddetails.LoadDetails


class RemoteLoads:
    """The newest report of each daemon, kept whole.

    With coordinators one report covers the fleet, so applying a report and
    reading the count of an upstream take constant time.
    """

    def __init__(self) -> None:
        self._report_by_daemon: dict[str, _Report] = {}

    def record(
        self,
        daemon: str,
        by_upstream: CountByUpstream,
        now: clock.Ms,
        details: loaddetails.LoadDetails = loaddetails.NONE,
    ) -> None:
        """Record a report; an upstream that it lacks has no requests.

        :param daemon: who reports.
        :param by_upstream: its requests.
        :param now: monotonic ms.
        :param details: of these requests.
        """
        self._report_by_daemon[daemon] = _Report(by_upstream, now, details)

    def requests(self, upstream: str, now: clock.Ms) -> tuple[int, int] | None:
        """Return the requests at an upstream and how many of them are late.

        :param upstream: its id.
        :param now: monotonic ms.
        :returns: None if no daemon has reported lately.
        """
        known = False
        count = late = 0
        for by_upstream, at, _ in self._report_by_daemon.values():
            if now - at > _TTL:
                continue
            known = True
            reported = by_upstream.get(upstream, _NO_REQUESTS)
            count += reported[0]
            late += reported[1]
        return (count, late) if known else None

    def since_newest(self, now: clock.Ms) -> clock.Ms:
        """Return the ms since the newest report, 0 before the first.

        :param now: monotonic ms.
        """
        newest = max(
            (report.at for report in self._report_by_daemon.values()),
            default=now,
        )
        return now - newest

    def use_by_team(self, pool: str, now: clock.Ms) -> dict[str, int]:
        """Return the requests in a replica pool by team.

        :param pool: its name.
        :param now: monotonic ms.
        """
        use_by_team: dict[str, int] = {}
        for report in self._valid(now):
            reported = report.details.use_by_pool.get(pool)
            for team, use in (reported or {}).items():
                use_by_team[team] = use_by_team.get(team, 0) + use
        return use_by_team

    def age(self, now: clock.Ms) -> clock.Ms | None:
        """Return the age of the oldest valid report, None without any.

        :param now: monotonic ms.
        """
        valid = self._valid(now)
        return max(now - report.at for report in valid) if valid else None

    def _valid(self, now: clock.Ms) -> list[_Report]:
        return [
            report
            for report in self._report_by_daemon.values()
            if now - report.at <= _TTL
        ]
