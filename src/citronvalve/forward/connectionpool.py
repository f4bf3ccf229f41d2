"""A pool of idle connections to upstreams."""

import collections
from typing import NamedTuple

from citronvalve.forward import connector as connectors
from citronvalve.forward import transport as transports
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock

#: Used when an upstream states no keep-alive timeout.
_DEFAULT_KEEP_ALIVE: clock.Ms = 4_000

#: Upstreams may close a little before their keep-alive timeout.
_KEEP_ALIVE_MARGIN: clock.Ms = 1_000

#: A request that may not be retried uses a connection that was idle for at
#: most this long, or a new one: the upstream may be closing an older one, and
#: it would be unknown whether the request ran.
_MAX_IDLE_NON_RETRYABLE: clock.Ms = 1_000

#: Idle connections per upstream; a replica runs 13 to 24 requests at once,
#: from several daemons.
_MAX_IDLE_PER_UPSTREAM = 8


class _Idle(NamedTuple):
    """An idle connection, and since when it is idle in monotonic ms."""

    connection: upstreamconnection.UpstreamConnection
    since: clock.Ms


class ConnectionPool:
    """Keeps idle connections by address.

    :param time_source: the clock.
    :param connector: opens connections.
    """

    def __init__(
        self, time_source: clock.Clock, connector: connectors.Connector
    ) -> None:
        self._clock = time_source
        self._connector = connector
        self._idle_by_address: dict[str, collections.deque[_Idle]] = {}

    def acquire(
        self, target: connectors.Target, request_id: str, retryable: bool
    ) -> upstreamconnection.UpstreamConnection:
        """Return a connection that is ready for a request.

        The request has not been sent on it before.

        :param target: the upstream.
        :param request_id: the request's id.
        :param retryable: whether the request may be retried.
        :raises exchangeerror.ExchangeError: when the upstream can't be
            connected to; nothing was sent.
        """
        passed_over: list[_Idle] = []
        try:
            connection = self._take_idle(
                target, request_id, retryable, passed_over
            )
        finally:
            self._put_back(target.address, passed_over)
        if connection is None:
            connection = self._connect(target, request_id)
        connection.record_request(request_id)
        return connection

    def release(
        self,
        address: str,
        connection: upstreamconnection.UpstreamConnection,
        keep_alive: int,
    ) -> None:
        """Return a connection after a complete exchange.

        It is closed if it can't be reused.

        :param address: host:port.
        :param connection: the connection.
        :param keep_alive: the upstream's keep-alive timeout in seconds, or 0.
        """
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if (
            len(idle) >= _MAX_IDLE_PER_UPSTREAM
            or not connection.prepare_reuse()
        ):
            connection.close()
            return
        now = self._clock.now()
        lifetime = (
            keep_alive * clock.SECOND - _KEEP_ALIVE_MARGIN
            if keep_alive
            else _DEFAULT_KEEP_ALIVE
        )
        connection.reusable_until = now + max(
            lifetime, _KEEP_ALIVE_MARGIN // 2
        )
        idle.append(_Idle(connection, now))

    def check_listening(self, target: connectors.Target) -> None:
        """Check that an upstream accepts connections, on any way.

        The connection that is opened for it is kept for the next request.

        :param target: the upstream.
        :raises exchangeerror.ExchangeError: when it does not, or no link
            leads to it.
        """
        connection = self._connect(target, "")
        if connection.end_request():
            self._keep(target, connection)
        else:
            connection.close()

    def keep(
        self, target: connectors.Target, transport: transports.Transport
    ) -> None:
        """Keep an unused connection for the next request.

        :param target: the upstream.
        :param transport: connected to it.
        """
        self._keep(
            target,
            upstreamconnection.UpstreamConnection(transport, self._clock),
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Called when one connection went silent: a device on the path may
        have dropped the state of all of them, while new ones work.

        :param address: host:port.
        """
        for connection, _ in self._idle_by_address.pop(address, ()):
            connection.close()

    def _take_idle(
        self,
        target: connectors.Target,
        request_id: str,
        retryable: bool,
        passed_over: list[_Idle],
    ) -> upstreamconnection.UpstreamConnection | None:
        """Return an idle connection that fits, closing those that don't.

        :param target: the upstream.
        :param request_id: the request's id.
        :param retryable: whether the request may be retried.
        :param passed_over: takes those that fit other requests only.
        """
        now = self._clock.now()
        is_lost = self._connector.links.is_lost(target.upstream, now)
        idle = self._idle_by_address.get(target.address)
        while idle:
            entry = idle.pop()
            connection, idle_since = entry
            if connection.has_carried(request_id):
                passed_over.append(entry)
                continue
            # Connections of before a loss may carry nothing any more, and
            # after it the direct way is the shorter one.
            is_right_way = bool(connection.relay) is is_lost
            is_fresh = retryable or now - idle_since <= _MAX_IDLE_NON_RETRYABLE
            if (
                is_right_way
                and connection.leads_to(target.upstream)
                and is_fresh
                and now < connection.reusable_until
                and connection.is_idle()
                and connection.begin(request_id)
            ):
                return connection
            connection.close()
        return None

    def _put_back(self, address: str, entries: list[_Idle]) -> None:
        if entries:
            idle = self._idle_by_address.setdefault(
                address, collections.deque()
            )
            idle.extend(reversed(entries))

    def _connect(
        self, target: connectors.Target, request_id: str
    ) -> upstreamconnection.UpstreamConnection:
        return upstreamconnection.UpstreamConnection(
            self._connector.open(target, request_id), self._clock
        )

    def _keep(
        self,
        target: connectors.Target,
        connection: upstreamconnection.UpstreamConnection,
    ) -> None:
        now = self._clock.now()
        connection.reusable_until = now + _DEFAULT_KEEP_ALIVE
        idle = self._idle_by_address.setdefault(
            target.address, collections.deque()
        )
        idle.append(_Idle(connection, now))
