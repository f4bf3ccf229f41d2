"""Current state of the daemon: table, upstream loads and group routes."""

from citronvalve.entry import grouproute
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.model import missing

#: Older group routes are not used: the group's watcher may have stopped,
#: and a VM may have died since.  Equal to the bound on failure detection.
_MAX_ROUTE_AGE: clock.Ms = 3_000
_VERSION_NEVER_DECREASES = (
    "an accepted table version is never replaced by a lower one"
)


class View:
    """Written by tasks that receive updates, read by handlers.

    :param time_source: the daemon's clock.
    :param invariants: checks that the table version never decreases.
    :ivar load_by_upstream: the newest load report of each upstream.
    :ivar route_by_group: the groups last observed to serve.
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
        """Return the table in force, or why there is none."""
        return self._table

    @property
    def version(self) -> int:
        """Return the table version in force, or 0."""
        return self._table.version if self._table else 0

    @property
    def age(self) -> clock.Ms:
        """Return ms since the table was last confirmed to be current."""
        return self._clock.now() - self._confirmed_at

    def upstreams(self) -> list[declared.Upstream]:
        """Return the declared upstreams and the groups that serve.

        Evaluated for each request, so that closed groups are left out.
        """
        if not self._table:
            return []
        return [
            *self._table.upstream_by_name.values(),
            *self.serving_groups(),
        ]

    def serving_groups(self) -> tuple[declared.Upstream, ...]:
        """Return the serving groups as upstreams, sorted by name."""
        now = self._clock.now()
        return tuple(
            route.upstream
            for _, route in sorted(self.route_by_group.items())
            if now - route.observed_at < _MAX_ROUTE_AGE
        )

    def upstream(self, name: str) -> declared.Upstream | None:
        """Return the current state of an upstream, or None.

        :param name: name of a declared upstream or of a group.
        """
        route = self.route_by_group.get(name)
        if route is not None:
            current = self._clock.now() - route.observed_at < _MAX_ROUTE_AGE
            return route.upstream if current else None
        if not self._table:
            return None
        return self._table.upstream_by_name.get(name)

    def fence(self, upstream: str) -> int:
        """Return the fencing token for requests to an upstream.

        :param upstream: name of the upstream.
        :return: 0 if the upstream is not a group.
        """
        route = self.route_by_group.get(upstream)
        return route.fence if route else 0

    def confirm_table(self, at: clock.Ms) -> None:
        """Record that the table in force was current at some time.

        :param at: monotonic time in ms.
        """
        self._confirmed_at = max(self._confirmed_at, at)

    def update_table(self, table: declared.Declared) -> bool:
        """Put a table in force if its version is newer.

        An equal version confirms the table in force.

        :param table: a valid table; one with a lower version, from a late
            response or an outdated peer, is ignored.
        :return: whether the version was newer.
        """
        if table.version < self.version:
            return False
        self._confirmed_at = self._clock.now()
        if table.version == self.version:
            return False
        self._invariants.check(
            _VERSION_NEVER_DECREASES,
            table.version > self.version,
            f"{self.version} to {table.version}",
        )
        self._set_table(table)
        return True

    def replace_table(self, table: declared.Declared) -> bool:
        """Replace a table that differs from the platform's.

        :param table: the platform's table.
        :return: False if its version is lower, so that it is ignored.
        """
        if table.version < self.version:
            return False
        self._invariants.check(
            _VERSION_NEVER_DECREASES,
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
        """Return the team that a token belongs to.

        :param digest: hex SHA-256 of the bearer token.
        """
        found = self._team_by_digest.get(digest)
        return found or missing.NotFound("no team has this token", "teams")
