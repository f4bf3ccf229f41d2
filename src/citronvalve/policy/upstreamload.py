"""One daemon's view of the load of one upstream."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import circuit

#: Half-life of an upstream's report of other daemons' requests: about the
#: duration of such a request.
_HALF_LIFE: clock.Ms = 800

#: How long another daemon's statement of its own load is valid.  It repeats
#: the statement several times within this time.
_REMOTE_LOAD_TTL: clock.Ms = 700


class RemoteLoad(NamedTuple):
    """Another daemon's requests at an upstream.

    ``late`` of the ``count`` are predicted to miss their objective and are
    served after all others.
    """

    count: int
    late: int
    at: clock.Ms


class UpstreamLoad:
    """The load of one upstream.

    Own requests are counted exactly, and those of other daemons by their
    messages.  The upstream's own report, which comes with an answer, is too
    old near saturation: a replica with 17 requests looks like one with 10,
    and gets more than it can serve in time.

    :ivar own: requests of this daemon at the upstream.
    :ivar late: those of them that are predicted to miss their objective.
    :ivar remote_load_by_daemon: the requests of other daemons.
    :ivar circuit: its circuit breaker.
    :ivar last_heard_at: when it last sent something, in monotonic ms, or 0.
    :ivar avoid_until: when it may get new requests, in monotonic ms.
    """

    __slots__ = (
        "_others",
        "_reported_at",
        "avoid_until",
        "circuit",
        "last_heard_at",
        "late",
        "own",
        "remote_load_by_daemon",
    )

    def __init__(self) -> None:
        self.own = 0
        self.late = 0
        self.remote_load_by_daemon: dict[str, RemoteLoad] = {}
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
        remote = self._fresh_remote_loads(now)
        if remote:
            return self.own + float(sum(share.count for share in remote))
        if not self._reported_at:
            return 2.0 * self.own
        weight = 0.5 ** ((now - self._reported_at) / _HALF_LIFE)
        # The other daemons of the data centre choose as this one does.
        # Without information they are assumed to have as many requests.
        return self.own + weight * self._others + (1 - weight) * self.own

    def total_on_time(self, now: clock.Ms) -> float:
        """Return the requests without the late ones, which are served last.

        :param now: monotonic ms.
        """
        late = self.late + sum(
            share.late for share in self._fresh_remote_loads(now)
        )
        return max(0.0, self.total(now) - late)

    def _fresh_remote_loads(self, now: clock.Ms) -> list[RemoteLoad]:
        return [
            share
            for share in self.remote_load_by_daemon.values()
            if now - share.at <= _REMOTE_LOAD_TTL
        ]
