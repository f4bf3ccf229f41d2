"""What one daemon knows of one upstream's load."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import circuit

#: What an upstream said of others' requests loses half its weight in this
#: time: about the time that a request of them runs.
_HALF_LIFE: clock.Ms = 800

#: What another daemon said of its own requests counts for so long; it says
#: so several times within it.
_REMOTE_LOAD_TTL: clock.Ms = 700


class RemoteLoad(NamedTuple):
    """One daemon's requests at an upstream.

    ``late`` of the ``count`` wait for places that nobody else wants.
    """

    count: int
    late: int
    at: clock.Ms


class UpstreamLoad:
    """Own requests counted exactly, those of others as they tell.

    Made for a load near what the replicas bear: by the upstream's own word,
    which comes with an answer, a replica with 17 requests looks like one
    with 10, and gets more than it can serve in time.

    :ivar mine: requests of this daemon that are there now.
    :ivar late: those of them that wait for places nobody else wants.
    :ivar circuit: whether failures keep it out of service.
    :ivar heard_at: monotonic ms of the last sign of life, 0 for none.
    :ivar avoid_until: monotonic ms until which it gets no new work.
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
        """Forget failures and silences of an earlier start or group."""
        self.circuit = circuit.Circuit()
        self.avoid_until = 0

    def record_report(self, running: int, waiting: int, now: clock.Ms) -> None:
        """Take in what the upstream said with an answer.

        :param running: requests of all callers that run.
        :param waiting: requests of all callers that wait.
        :param now: monotonic ms.
        """
        self._others = max(0.0, float(running + waiting - self.own))
        self._reported_at = now

    def total(self, now: clock.Ms) -> float:
        """Return the requests that are there, as far as can be known.

        :param now: monotonic ms.
        """
        remote = self._fresh_remote_loads(now)
        if remote:
            return self.own + float(sum(share.count for share in remote))
        if not self._reported_at:
            return 2.0 * self.own
        weight = 0.5 ** ((now - self._reported_at) / _HALF_LIFE)
        # The other daemons of the data centre choose as this one does, so
        # without news they are taken to have as much there.
        return self.own + weight * self._others + (1 - weight) * self.own

    def total_on_time(self, now: clock.Ms) -> float:
        """Return the requests that are not behind one that is in time.

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
