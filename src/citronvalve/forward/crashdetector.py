"""Detection of requests that crash their upstreams."""

from collections.abc import Callable
from typing import NamedTuple

import xxhash

from citronvalve.forward import callerrequest
from citronvalve.forward import connectionpool
from citronvalve.forward import connector as connectors
from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import crashfence

#: Upstreams lost with one request before it is refused.  A harmless request
#: that runs beside a crashing one is lost with it once or twice by chance,
#: hardly three times.
_MAX_LOSSES = 3

#: Bytes of a part's id that are logged.
_MAX_SHOWN = 32

#: Time for which a loss counts against a request.
_LOSS_WINDOW: clock.Ms = 60_000


class Run(NamedTuple):
    """A request's run at an upstream.

    ``start_id`` is of the upstream's start.  ``answered_at`` is when the head
    of the response arrived, ``writing_since`` when the first data of its body
    did; monotonic ms, None before.
    """

    target: connectors.Target
    start_id: int = 0
    answered_at: clock.Ms | None = None
    writing_since: clock.Ms | None = None


class CrashDetector:
    """Counts the upstreams that were lost while they ran a request.

    Callers retry such a request at any daemon: unless it is refused, it
    crashes one upstream after the other.

    :param env: the daemon's environment.
    :param pool: checks whether an upstream still accepts connections.
    :ivar on_crash: called with the request's fingerprint and the upstream's
        id, to inform other daemons.
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
        """Return the refusal of a request that crashes upstreams, or None.

        :param routed: the request.
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
            f"{losses} upstreams were lost while running this request",
            "change the request before sending it again",
        )

    def check_upstream(
        self, routed: routedrequest.RoutedRequest, run: Run
    ) -> None:
        """Check whether an upstream is down after its connection broke.

        Called before the request is retried; otherwise the next upstream
        would be chosen before this loss is counted.

        :param routed: the request that ran on the connection.
        :param run: its run.
        """
        broke_at = self._env.clock.now()
        upstream = run.target.upstream
        try:
            self._pool.check_listening(run.target)
        except exchangeerror.ExchangeError as error:
            if error.failure is exchangeerror.ExchangeFailure.NO_LINK:
                # The connection may have broken with the link.
                return
            request_fingerprint = fingerprint(
                routed.request, self._env.header_names.api_key
            )
            self.record_loss(request_fingerprint, upstream)
            self._env.log.change(
                "upstream lost with a request",
                upstream=upstream,
                start_id=run.start_id,
                fingerprint=request_fingerprint,
                parts=_shown(routed.shared_parts),
                answered_ms=_age(run.answered_at, broke_at),
                writing_ms=_age(run.writing_since, broke_at),
                why=str(error),
            )
            self.on_crash(request_fingerprint, upstream)

    def clear(self, routed: routedrequest.RoutedRequest) -> None:
        """Forget the losses of a request that was answered.

        :param routed: the request.
        """
        self._fence.clear(
            fingerprint(routed.request, self._env.header_names.api_key)
        )

    def record_loss(self, request_fingerprint: str, upstream: str) -> None:
        """Record an upstream lost with a request, here or at another daemon.

        :param request_fingerprint: the request's fingerprint.
        :param upstream: the lost upstream's id.
        """
        self._fence.record_loss(
            request_fingerprint, upstream, self._env.clock.now()
        )


def _age(at: clock.Ms | None, now: clock.Ms) -> clock.Ms | None:
    return None if at is None else now - at


def _shown(parts: tuple[bytes, ...]) -> list[str]:
    """Return parts as they are logged; ids from callers may be long."""
    return [part[:_MAX_SHOWN].decode("latin-1") for part in parts]


def fingerprint(
    request: callerrequest.CallerRequest, key_header: bytes
) -> str:
    """Return a digest that is the same for each retry by a caller.

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
