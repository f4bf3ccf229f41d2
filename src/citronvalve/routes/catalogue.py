"""Everything that one version of the configuration declares."""

from typing import NamedTuple

from citronvalve.model import missing
from citronvalve.routes import callerlimits
from citronvalve.routes import keyholder
from citronvalve.routes import route as routes_
from citronvalve.routes import service


class Catalogue(NamedTuple):
    """Routes, services and keys of one version; versions only rise.

    ``needs_key`` tells whether the configuration knows teams at all.
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
        """Return the route with the longest prefix that begins a path.

        Prefixes end with a slash, so only as many look-ups are made as the
        path has slashes, whatever the number of routes.

        :param host: as the caller wrote it, without a port.
        :param path: without its query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return missing.NotFound("no route begins this path", f"{host}{path}")
