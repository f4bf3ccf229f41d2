"""Requests that crash the upstreams which run them."""

from collections.abc import Callable

import xxhash

from citronvalve.forward import callerrequest
from citronvalve.forward import connectionpool
from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import crashfence

#: Upstreams lost to one request before it is refused.  Whatever runs beside
#: such a request is lost with it, once or twice by chance, hardly thrice.
_MAX_LOSSES = 3

#: A loss speaks against a request for so long.
_LOSS_WINDOW: clock.Ms = 60_000


class CrashDetector:
    """Finds out whether an upstream died with a request, and tells others.

    The caller of such a request sends it again, at any daemon: with no
    fence it takes down one upstream after the other.

    :param env: the daemon's environment.
    :param links: tell whether an upstream still listens.
    :ivar on_crash: told the fingerprint and the upstream.
    """

    def __init__(
        self,
        env: environments.Environment,
        pool: connectionpool.ConnectionPool,
    ) -> None:
        self._env = env
        self._pool = pool
        self._fence = crashfence.CrashFence()
        self.on_crash: Callable[[str, str], None] = lambda *_: None

    def find_refusal(
        self, routed: routedrequest.RoutedRequest
    ) -> refusal.Refusal | None:
        """Return the refusal of a request that is known to crash upstreams.

        :param demand: the request.
        """
        losses = self._fence.loss_count(
            fingerprint(routed.request, self._env.header_names.api_key),
            self._env.clock.now(),
            _LOSS_WINDOW,
        )
        if losses < _MAX_LOSSES:
            return None
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM,
            f"{losses} upstreams were lost while they ran it",
            "change the request before sending it again",
        )

    def check_upstream(
        self, routed: routedrequest.RoutedRequest, upstream: str, address: str
    ) -> None:
        """Look into a connection that broke while a request ran.

        Done before the request is tried again, or its next victim would be
        chosen before this one is counted.

        :param demand: the request.
        :param upstream: whose connection it was.
        :param address: host:port.
        """
        try:
            self._pool.check_listening(address)
        except exchangeerror.ExchangeError as error:
            request_fingerprint = fingerprint(
                routed.request, self._env.header_names.api_key
            )
            self.record_loss(request_fingerprint, upstream)
            self._env.log.change(
                "upstream lost with a request",
                upstream=upstream,
                fingerprint=request_fingerprint,
                why=str(error),
            )
            self.on_crash(request_fingerprint, upstream)

    def clear(self, routed: routedrequest.RoutedRequest) -> None:
        """Take back what speaks against a request that was answered.

        :param demand: the request.
        """
        self._fence.clear(
            fingerprint(routed.request, self._env.header_names.api_key)
        )

    def record_loss(self, request_fingerprint: str, upstream: str) -> None:
        """Take in a loss that another daemon saw.

        :param mark: the request's fingerprint.
        :param upstream: who was lost.
        """
        self._fence.record_loss(
            request_fingerprint, upstream, self._env.clock.now()
        )


def fingerprint(
    request: callerrequest.CallerRequest, key_header: bytes
) -> str:
    """Return what stays the same when a caller sends a request again.

    :param request: the caller's.
    :param key_header: name of the header with the caller's key.
    """
    digest = xxhash.xxh3_128()
    for part in (
        request.method,
        request.target,
        request.header(key_header),
        request.body,
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
