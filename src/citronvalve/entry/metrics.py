"""The metrics of one daemon, in base units."""

import aioprometheus

from citronvalve.entry import gauges
from citronvalve.model import clock

#: The target is a first token within 0.52 s; the buckets are fine there.
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

    Labels hold a path's kind and an outcome, never a request, an address
    or a caller's own words, so that no caller can grow them.
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

    def record_request(self, path: str, outcome: str, took: clock.Ms) -> None:
        """Count a request that ended.

        :param path: ``chat`` or ``service``.
        :param outcome: ``whole`` or the kind of the refusal.
        :param took: ms since its arrival.
        """
        self._requests.inc({"path": path, "outcome": outcome})
        self._request_seconds.observe({"path": path}, took / clock.SECOND)

    def record_first_token(self, took: clock.Ms) -> None:
        """Note the time to a first token.

        :param took: ms since the request's arrival.
        """
        self._first_token_seconds.observe({}, took / clock.SECOND)

    def record_pieces(self, pieces: int) -> None:
        """Count the pieces of an answer, once at its end.

        :param pieces: how many.
        """
        self._pieces.add({}, pieces)

    def record_resume(self, kind: str) -> None:
        """Count a resume.

        :param kind: the trouble that broke the stream.
        """
        self._resumes.inc({"trouble": kind})
