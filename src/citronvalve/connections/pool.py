"""Pools of connections on which a cut response is an error."""

import urllib3
import urllib3.connection

from citronvalve.connections import response


class Connection(urllib3.connection.HTTPConnection):
    """A connection whose responses must have complete heads."""

    response_class = response.Response


class ConnectionPool(urllib3.HTTPConnectionPool):
    """Connections to one address; parameters are the library's."""

    ConnectionCls = Connection


class PoolManager(urllib3.PoolManager):
    """Pools by address; parameters are the library's.

    Only plain HTTP is spoken, so other schemes have no pool.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.pool_classes_by_scheme = {"http": ConnectionPool}
