"""The contents of one version of the declared configuration."""

from typing import NamedTuple

from citronvalve.model import missing
from citronvalve.routes import callerlimits
from citronvalve.routes import keyholder
from citronvalve.routes import route as routes_
from citronvalve.routes import service


class Catalogue(NamedTuple):
    """Routes, services and API keys of one version; versions only rise.

    ``route_by_prefix`` has host and path prefix as its key.  ``needs_key``
    is true if the configuration has teams.
    """

    version: int
    route_by_prefix: dict[tuple[str, str], routes_.Route]
    service_by_name: dict[str, service.Service]
    holder_by_key: dict[str, keyholder.KeyHolder]
    limits: callerlimits.CallerLimits = callerlimits.CallerLimits()
    needs_key: bool = False

    def find_route(
        self, host: str, path: str
    ) -> routes_.Route | missing.NotFound:
        """Return the route with the longest matching path prefix.

        Prefixes end with a slash, so there is one lookup per slash of the
        path, whatever the number of routes.

        :param host: host of the request, without a port.
        :param path: path of the request, without a query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return missing.NotFound("no route matches", f"{host}{path}")
