"""What this daemon knows at present: the table and the loads."""

from citronvalve.entry import grouproute
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.model import missing

#: A group state older than this is not routed on: its watcher may have
#: stopped, and a VM died since.  Equal to the bound on detection.
_MAX_ROUTE_AGE: clock.Ms = 3_000
_NEVER_FALLS = "an accepted table version is never replaced by a lower one"


class View:
    """Written by the tasks that receive news, read by the handlers.

    :param now: clock of the daemon.
    :param invariants: asserts that versions never fall.
    :ivar load_by_upstream: the newest report of each upstream.
    :ivar route_by_group: the groups last seen to serve.
    """

    def __init__(
        self, time_source: clock.Clock, invariants: invariant.Invariants
    ) -> None:
        self._clock = time_source
        self._invariants = invariants
        self._table: declared.Declared | missing.Stale = missing.Stale(
            "no version of the table has been received yet", "table"
        )
        self._team_by_digest: dict[str, declared.Team] = {}
        self._confirmed_at: clock.Ms = time_source.now()
        self.load_by_upstream: dict[str, load.LoadReport] = {}
        self.route_by_group: dict[str, grouproute.GroupRoute] = {}

    @property
    def table(self) -> declared.Declared | missing.Stale:
        """Return the version in force, or why there is none."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version in force; 0 is none."""
        return self._table.version if self._table else 0

    @property
    def age(self) -> clock.Ms:
        """Return ms since the version was last known to be the newest."""
        return self._clock.now() - self._confirmed_at

    def upstreams(self) -> list[declared.Upstream]:
        """Return declared upstreams, and groups that serve now.

        Asked for each request: a group that closed is not among them.
        """
        if not self._table:
            return []
        return [
            *self._table.upstream_by_name.values(),
            *self.serving_groups(),
        ]

    def serving_groups(self) -> tuple[declared.Upstream, ...]:
        """Return the groups that serve now, as upstreams, by name."""
        now = self._clock.now()
        return tuple(
            route.upstream
            for _, route in sorted(self.route_by_group.items())
            if now - route.observed_at < _MAX_ROUTE_AGE
        )

    def upstream(self, name: str) -> declared.Upstream | None:
        """Return an upstream as it is at this moment, if it is there.

        :param name: a declared upstream, or a group that serves now.
        """
        route = self.route_by_group.get(name)
        if route is not None:
            fresh = self._clock.now() - route.observed_at < _MAX_ROUTE_AGE
            return route.upstream if fresh else None
        if not self._table:
            return None
        return self._table.upstream_by_name.get(name)

    def fence(self, upstream: str) -> int:
        """Return the fence that a request to an upstream carries.

        :param upstream: its name; 0 for one that is no group.
        """
        route = self.route_by_group.get(upstream)
        return route.fence if route else 0

    def confirm_table(self, at: clock.Ms) -> None:
        """Note that the version in force was the newest at a moment.

        :param at: monotonic ms.
        """
        self._confirmed_at = max(self._confirmed_at, at)

    def update_table(self, table: declared.Declared) -> bool:
        """Put a version in force, unless it is an old one.

        :param table: a checked version; a late answer or a stale peer may
            bring one below the present, which is passed over.
        :return: whether it was newer.
        """
        if table.version < self.version:
            return False
        self._confirmed_at = self._clock.now()
        if table.version == self.version:
            return False
        self._invariants.check(
            _NEVER_FALLS,
            table.version > self.version,
            f"{self.version} to {table.version}",
        )
        self._set_table(table)
        return True

    def replace_table(self, table: declared.Declared) -> bool:
        """Put a table in force in place of a wrong one.

        :param table: as the platform has it.
        :return: False for one of a lower version, which is passed over.
        """
        if table.version < self.version:
            return False
        self._invariants.check(
            _NEVER_FALLS,
            table.version >= self.version,
            f"{self.version} to {table.version}",
        )
        self._set_table(table)
        return True

    def _set_table(self, table: declared.Declared) -> None:
        self._table = table
        self._team_by_digest = {
            team.token_sha256: team for team in table.team_by_name.values()
        }

    def team(self, digest: str) -> declared.Team | missing.NotFound:
        """Find a team by its token.

        :param digest: hex SHA-256 of the bearer token.
        """
        found = self._team_by_digest.get(digest)
        return found or missing.NotFound("no team has this token", "teams")
