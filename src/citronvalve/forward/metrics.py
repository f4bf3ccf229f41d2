"""The forwarding path's metrics, in base units."""

import aioprometheus

from citronvalve.entry import gauges
from citronvalve.model import clock

#: Bounds in seconds; fine around the latency objectives of 0.2 to 0.5 s.
_BUCKETS = (
    *(0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5),
    *(0.75, 1.0, 2.0, 4.0, 8.0, float("inf")),
)


#: Teams with a label value of their own; the refusals of others are summed.
_MAX_TEAMS = 64
_OTHER_TEAMS = "other"


class Metrics(gauges.Gauges):
    """Counters and histograms; callers can't add label values."""

    def __init__(self) -> None:
        super().__init__()
        self._requests = self._counter(
            "requests_total", "Requests ended, by kind, outcome and reason."
        )
        self._attempts = self._counter(
            "tries_total", "Tries at upstreams, by how they ended."
        )
        self._sent_again = self._counter(
            "sent_again_total",
            "Requests that may run once sent to another upstream, by proof.",
        )
        self._openings = self._counter(
            "openings_total", "New connections to upstreams, by result."
        )
        self._relayings = self._counter(
            "relayings_total", "Other daemons asked to relay, by result."
        )
        self._team_refusals = self._counter(
            "team_refusals_total", "Refused by full replica pools, by team."
        )
        self._excess = self._counter(
            "excess_total", "Sent elsewhere for lack of room, by data centre."
        )
        self._need_refusals = self._counter(
            "need_refusals_total", "Refused as upstreams asked, by team."
        )
        self._crash_checks = self._counter(
            "crash_checks_total", "Runs given up, by what their upstream did."
        )
        self._task_failures = self._counter(
            "task_failures_total",
            "Errors after which a task went on, by task.",
        )
        self._left_out = self._counter(
            "entries_left_out_total", "Entries of others that can't be used."
        )
        self._teams: set[str] = set()
        self._malformed = self._counter(
            "malformed_total", "Bytes that were no request, by status."
        )
        self._ended_reading = self._counter(
            "connections_ended_total",
            "Closed for room while their request was incomplete.",
        )
        self._bodies_ended = self._counter(
            "bodies_ended_total", "Bodies refused unread, by reason."
        )
        self._orders = self._counter(
            "orders_total", "Orders to engines, by kind and result."
        )
        self._platform_reads = self._counter(
            "platform_readings_total", "Calls for a table, by result."
        )
        self._first_event = self._histogram(
            "first_event_seconds", "Arrival to the first event or answer."
        )
        self._gap = self._histogram(
            "event_gap_seconds", "Longest pause between events of a stream."
        )
        self._forecast_error = self._histogram(
            "forecast_error_seconds", "First event after its forecast."
        )

    def record_request(self, kind: str, outcome: str, reason: str) -> None:
        """Count the end of a request.

        :param kind: the kind of its route.
        :param outcome: ``whole``, ``refused``, ``failed``, ``broken`` or
            ``left``.
        :param reason: the cause, from a closed set.
        """
        self._requests.inc(
            {"kind": kind, "outcome": outcome, "reason": reason}
        )

    def record_ended_reading(self) -> None:
        """Count a connection that was closed to make room for others."""
        self._ended_reading.inc({})

    def record_body_ended(self, reason: str) -> None:
        """Count a body that was not read to its end.

        :param reason: the kind of the refusal.
        """
        self._bodies_ended.inc({"reason": reason})

    def record_attempt(self, result: str) -> None:
        """Count an attempt at an upstream.

        :param result: how it ended.
        """
        self._attempts.inc({"result": result})

    def record_sent_again(self, proof: str) -> None:
        """Count a request that may run once and is sent once more.

        :param proof: what shows that it has not run.
        """
        self._sent_again.inc({"proof": proof})

    def record_opening(self, result: str) -> None:
        """Count an attempt to open a connection to an upstream.

        :param result: how it ended.
        """
        self._openings.inc({"result": result})

    def record_relaying(self, result: str) -> None:
        """Count a request to another daemon to relay.

        :param result: how it ended.
        """
        self._relayings.inc({"result": result})

    def record_crash_check(self, found: str) -> None:
        """Count a run that broke or was given up.

        :param found: what was found of its upstream, from a closed set.
        """
        self._crash_checks.inc({"found": found})

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

    def record_team_refusal(self, team: str) -> None:
        """Count a request that a replica pool had no room for.

        :param team: its team.
        """
        self._team_refusals.inc({"team": self._team_label(team)})

    def record_need_refusal(self, need: str, team: str) -> None:
        """Count a request that upstreams in need could not take.

        :param need: what they ask for, from a closed set.
        :param team: the caller's team.
        """
        self._need_refusals.inc({"need": need, "team": self._team_label(team)})

    def _team_label(self, team: str) -> str:
        if team not in self._teams:
            if len(self._teams) >= _MAX_TEAMS:
                return _OTHER_TEAMS
            self._teams.add(team)
        return team

    def record_excess(self, datacentre: str) -> None:
        """Count a request that another data centre has more room for.

        :param datacentre: the other one.
        """
        self._excess.inc({"datacentre": datacentre})

    def record_malformed(self, status: int) -> None:
        """Count malformed input.

        :param status: the status of the response to it.
        """
        self._malformed.inc({"status": str(status)})

    def record_order(self, order: str, result: str) -> None:
        """Count an order to an engine.

        :param order: its kind.
        :param result: the status, or the reason why there is none.
        """
        self._orders.inc({"order": order, "result": result})

    def record_platform_read(self, table: str, answered: bool) -> None:
        """Count a poll for the changes of a table.

        :param table: its name; the daemon follows a fixed few.
        :param answered: whether the platform answered.
        """
        result = "answered" if answered else "failed"
        self._platform_reads.inc({"table": table, "result": result})

    def observe_first_event(self, elapsed: clock.Ms, forecast: float) -> None:
        """Record the time to a first event.

        :param elapsed: ms from arrival.
        :param forecast: forecast ms from the start of the attempt.
        """
        self._first_event.observe({}, elapsed / clock.SECOND)
        late = max(0.0, elapsed - forecast)
        self._forecast_error.observe({}, late / clock.SECOND)

    def observe_gap(self, longest: clock.Ms) -> None:
        """Record the longest pause of a stream.

        :param longest: ms.
        """
        self._gap.observe({}, longest / clock.SECOND)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"citronvalve_forward_{name}", doc, registry=self.registry
        )

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"citronvalve_forward_{name}",
            doc,
            registry=self.registry,
            buckets=_BUCKETS,
        )
