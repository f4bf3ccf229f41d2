"""The one log line of a request."""

from citronvalve.entry import call as calls
from citronvalve.entry import environment as environments
from citronvalve.entry import progress as progresses


class RequestLog:
    """Written when a request ends, however it does.

    :param env: the daemon's environment.
    :param progress: counts requests in progress.
    :param call: the request.
    :ivar path: the kind of path, once it is known.
    :ivar team: the caller's team, once it is known.
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
        """Write the line, once.

        :param outcome: what became of the request.
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
