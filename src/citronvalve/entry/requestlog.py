"""The log line of a request."""

from citronvalve.entry import call as calls
from citronvalve.entry import environment as environments
from citronvalve.entry import progress as progresses


class RequestLog:
    """Logs and counts a request once, when it ends.

    :param env: the daemon's environment.
    :param progress: counts requests in progress.
    :param call: the request.
    :ivar path: the kind of path; ``other`` until it is known.
    :ivar team: name of the caller's team; empty until it is known.
    """

    def __init__(
        self,
        env: environments.Environment,
        progress: progresses.Progress,
        call: calls.Call,
    ) -> None:
        self._env = env
        self._progress = progress
        self._call = call
        self._open = True
        self.path = "other"
        self.team = ""

    def end(self, outcome: str) -> None:
        """Write the line; further calls do nothing.

        :param outcome: outcome for logs and metrics.
        """
        if not self._open:
            return
        self._open = False
        self._progress.end()
        took = self._env.clock.now() - self._call.arrived_at
        self._env.metrics.record_request(self.path, outcome, took)
        self._env.log.info(
            "request ended",
            extra={
                "request": self._call.request,
                "team": self.team,
                "path": self.path,
                "outcome": outcome,
                "took_ms": took,
            },
        )
