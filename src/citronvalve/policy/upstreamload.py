"""One daemon's view of the load of one upstream."""

from citronvalve.model import clock
from citronvalve.policy import circuit
from citronvalve.policy import remoteloads

#: Half-life of an upstream's report of other daemons' requests: about the
#: duration of such a request.
_HALF_LIFE: clock.Ms = 800


class UpstreamLoad:
    """The load of one upstream.

    Own requests are counted exactly, and those of other daemons by their
    messages.  The upstream's own report, which comes with an answer, is too
    old near saturation: a replica with 17 requests looks like one with 10,
    and gets more than it can serve in time.

    :param upstream: its id.
    :param remote_loads: the requests of other daemons.
    :ivar own: requests of this daemon at the upstream.
    :ivar late: those of them that are predicted to miss their objective.
    :ivar circuit: its circuit breaker.
    :ivar last_heard_at: when it last sent something, in monotonic ms, or 0.
    :ivar avoid_until: when it may get new requests, in monotonic ms.
    """

    __slots__ = (
        "_others",
        "_remote_loads",
        "_reported_at",
        "_upstream",
        "avoid_until",
        "circuit",
        "last_heard_at",
        "late",
        "own",
    )

    def __init__(
        self, upstream: str, remote_loads: remoteloads.RemoteLoads
    ) -> None:
        self._upstream = upstream
        self._remote_loads = remote_loads
        self.own = 0
        self.late = 0
        self.circuit = circuit.Circuit()
        self.last_heard_at: clock.Ms = 0
        self.avoid_until: clock.Ms = 0
        self._others = 0.0
        self._reported_at: clock.Ms = 0

    def reset_failures(self) -> None:
        """Reset failures and stalls of an earlier start or group."""
        self.circuit = circuit.Circuit()
        self.avoid_until = 0

    def record_report(self, running: int, waiting: int, now: clock.Ms) -> None:
        """Apply the load that the upstream reported with an answer.

        :param running: number of running requests of all callers.
        :param waiting: number of queued requests of all callers.
        :param now: monotonic ms.
        """
        self._others = max(0.0, float(running + waiting - self.own))
        self._reported_at = now

    def total(self, now: clock.Ms) -> float:
        """Return the estimated number of requests at the upstream.

        :param now: monotonic ms.
        """
        return self.totals(now)[0]

    def totals(self, now: clock.Ms) -> tuple[float, float]:
        """Return the estimated number of requests, and of those on time.

        Late requests are served after all others.

        :param now: monotonic ms.
        """
        remote = self._remote_loads.requests(self._upstream, now)
        if remote is not None:
            count, late = remote
            total = float(self.own + count)
            return total, max(0.0, total - self.late - late)
        total = self._estimate(now)
        return total, max(0.0, total - self.late)

    def _estimate(self, now: clock.Ms) -> float:
        if not self._reported_at:
            return 2.0 * self.own
        weight = 0.5 ** ((now - self._reported_at) / _HALF_LIFE)
        # The other daemons of the data centre choose as this one does.
        # Without information they are assumed to have as many requests.
        return self.own + weight * self._others + (1 - weight) * self.own
