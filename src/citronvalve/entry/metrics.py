"""The metrics of one daemon, in base units."""

import aioprometheus

from citronvalve.entry import gauges
from citronvalve.model import clock

#: Finest around the target of a first token within 0.52 s.
_FIRST_TOKEN_BUCKETS = (
    *(0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.52),
    *(0.75, 1.0, 2.0, 5.0, 10.0, float("inf")),
)
_REQUEST_BUCKETS = (
    *(0.01, 0.05, 0.1, 0.5, 1.0, 2.0, 5.0),
    *(10.0, 30.0, 60.0, 300.0, float("inf")),
)


class Metrics(gauges.Gauges):
    """Counters, gauges and histograms with bounded label sets.

    Labels never hold request ids, addresses or text from callers, so that
    callers can't increase their cardinality.
    """

    def __init__(self) -> None:
        super().__init__()
        self._requests = aioprometheus.Counter(
            "citronvalve_requests_total",
            "Requests ended, by kind of path and outcome.",
            registry=self.registry,
        )
        self._request_seconds = aioprometheus.Histogram(
            "citronvalve_request_seconds",
            "Time from a request's arrival to its end.",
            registry=self.registry,
            buckets=_REQUEST_BUCKETS,
        )
        self._first_token_seconds = aioprometheus.Histogram(
            "citronvalve_first_token_seconds",
            "Time from a request's arrival to its first token.",
            registry=self.registry,
            buckets=_FIRST_TOKEN_BUCKETS,
        )
        self._pieces = aioprometheus.Counter(
            "citronvalve_pieces_relayed_total",
            "Pieces of answers passed on to callers.",
            registry=self.registry,
        )
        self._resumes = aioprometheus.Counter(
            "citronvalve_resumes_total",
            "Broken streams that were resumed, by kind of trouble.",
            registry=self.registry,
        )

        self._task_failures = aioprometheus.Counter(
            "citronvalve_task_failures_total",
            "Errors after which a task went on, by task.",
            registry=self.registry,
        )
        self._left_out = aioprometheus.Counter(
            "citronvalve_entries_left_out_total",
            "Entries of others that can't be used.",
            registry=self.registry,
        )

    def record_task_failure(self, task: str) -> None:
        """Count an error after which a task went on.

        :param task: its name, from a closed set.
        """
        self._task_failures.inc({"task": task})

    def record_left_out(self, table: str) -> None:
        """Count an entry of another writer that is left out.

        :param table: its table, from a closed set.
        """
        self._left_out.inc({"table": table})

    def record_request(self, path: str, outcome: str, took: clock.Ms) -> None:
        """Record a request that ended.

        :param path: ``chat``, ``service`` or ``other``.
        :param outcome: outcome as in the log, such as ``whole`` or the kind
            of the refusal.
        :param took: ms since its arrival.
        """
        self._requests.inc({"path": path, "outcome": outcome})
        self._request_seconds.observe({"path": path}, took / clock.SECOND)

    def record_first_token(self, took: clock.Ms) -> None:
        """Record the time to a first token.

        :param took: ms since the request's arrival.
        """
        self._first_token_seconds.observe({}, took / clock.SECOND)

    def record_pieces(self, pieces: int) -> None:
        """Record the relayed pieces of an answer, once at its end.

        :param pieces: number of pieces.
        """
        self._pieces.add({}, pieces)

    def record_resume(self, kind: str) -> None:
        """Record a resume.

        :param kind: the failure that broke the stream.
        """
        self._resumes.inc({"trouble": kind})
