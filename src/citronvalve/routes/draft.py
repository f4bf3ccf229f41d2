"""A configuration as it was written, before it becomes a catalogue."""

from typing import NamedTuple

from citronvalve.routes import callerlimits
from citronvalve.routes import catalogue
from citronvalve.routes import keyholder
from citronvalve.routes import route
from citronvalve.routes import service
from citronvalve.routes import team as teams_


class Draft(NamedTuple):
    """All entries in the order of the file, including duplicates.

    ``teams`` is None if the configuration has no teams; callers need no key
    then.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: tuple[service.Service, ...]
    teams: tuple[teams_.Team, ...] | None
    limits: callerlimits.CallerLimits = callerlimits.CallerLimits()

    def to_catalogue(self) -> catalogue.Catalogue:
        """Return the catalogue; the last of several duplicates counts."""
        return catalogue.Catalogue(
            self.version,
            {(each.host, each.prefix): each for each in self.routes},
            {each.name: each for each in self.services},
            {
                key: keyholder.KeyHolder(team.name, team.priority, team.weight)
                for team in self.teams or ()
                for key in team.keys
            },
            self.limits,
            self.teams is not None,
        )
