"""A WSGI application on a listening port."""

from collections.abc import Callable

from citronvalve.forward import acceptor
from citronvalve.forward import environment as environments
from citronvalve.forward import wsgihandler
from citronvalve.routes import callerlimits

#: At the target load a daemon gets about 16 requests/s of tens of seconds
#: each.  This allows several times that, at about 30 KB for a connection.
MAX_CONNECTIONS = 2_048

#: Connections of operators and the balancer.
MAX_OPERATORS = 32

OPERATORS_LIMITS = callerlimits.CallerLimits(
    max_body_bytes=65_536, header_timeout=5_000, idle_timeout=75_000
)

#: Holds about 200 tokens of a streamed response.  The kernel would buffer
#: megabytes for a caller that has stopped reading, and the engine would
#: generate a whole response that nobody receives.
_SEND_BUFFER_BYTES = 32_768


class Listener:
    """Serves a WSGI application until it is closed.

    :param address: host:port.
    :param app: the WSGI application.
    :param env: the environment of the forwarding path.
    :param limits: on what callers send.
    :param most: connections at a time.
    :raises errors.SettingsError: when the address can't be listened at.
    """

    def __init__(
        self,
        address: str,
        app: Callable,
        env: environments.Environment,
        limits: callerlimits.CallerLimits,
        most: int,
    ) -> None:
        self._acceptor = acceptor.Acceptor(
            address,
            env,
            lambda: limits,
            wsgihandler.WsgiHandler(app, env),
            most,
            watches=False,
            send_buffer=_SEND_BUFFER_BYTES,
        )

    def start(self) -> None:
        """Start to accept connections."""
        self._acceptor.start()

    def close(self) -> None:
        """Stop accepting connections; requests in progress continue."""
        self._acceptor.close()
