"""The operators' port: health, readiness, status and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

from citronvalve.daemon import peertask
from citronvalve.daemon import settings as settings_
from citronvalve.entry import environment as environments
from citronvalve.entry import progress as progresses
from citronvalve.entry import view as views
from citronvalve.model import clock

_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4"


class Operators:
    """A WSGI application for operators and the balancer.

    :param settings: the daemon's settings.
    :param env: the daemon's environment.
    :param view: holds the table and the loads.
    :param progress: counts requests in progress.
    :param peer_task: the daemon as a member of the fleet.
    :param render_http: returns the metrics of the ports.
    """

    def __init__(
        self,
        settings: settings_.Settings,
        env: environments.Environment,
        view: views.View,
        progress: progresses.Progress,
        peer_task: peertask.PeerTask,
        render_http: Callable[[], bytes],
    ) -> None:
        self._render_http = render_http
        self._peer_task = peer_task
        self._settings = settings
        self._env = env
        self._view = view
        self._progress = progress
        self._handler_by_path = {
            "/healthz": self._health,
            "/readyz": self._ready,
            "/status": self._status,
            "/metrics": self._metrics,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        handler = self._handler_by_path.get(
            environ["PATH_INFO"], self._not_found
        )
        status, content_type, body = handler()
        start_response(status, [("Content-Type", content_type)])
        return [body]

    def _health(self) -> tuple[str, str, bytes]:
        return "200 OK", _JSON, b'{"alive":true}'

    def _ready(self) -> tuple[str, str, bytes]:
        reasons = []
        if not self._view.table:
            reasons.append(self._view.table.reason)
        if self._progress.stopping:
            reasons.append("stopping")
        status = "503 Service Unavailable" if reasons else "200 OK"
        body = {"ready": not reasons, "reasons": reasons}
        return status, _JSON, msgspec.json.encode(body)

    def _status(self) -> tuple[str, str, bytes]:
        return "200 OK", _JSON, msgspec.json.encode(self.status())

    def status(self) -> dict[str, Any]:
        """Return the state of this daemon, its upstreams and its peers."""
        now = self._env.clock.now()
        peer = self._peer_task.peer
        confirmation = peer.confirmation(peer.table_version())
        return {
            "name": self._env.name,
            "datacentre": self._env.datacentre,
            "table_version": self._view.version,
            "table_age_ms": self._view.age,
            "table_trouble": self._peer_task.table_problem(),
            "members": confirmation.members,
            "silent": list(confirmation.silent),
            "stopping": self._progress.stopping,
            "in_progress": self._progress.count,
            "upstreams": [
                {
                    "name": report.upstream,
                    "running": report.running,
                    "queued": report.queued,
                    "bears": report.capacity,
                    "age_ms": now - report.measured_at,
                    "vms_missing": list(report.vms_missing),
                }
                for _, report in sorted(self._view.load_by_upstream.items())
            ],
            "peers": self._peers(),
            "invariants": self._env.invariants.count_by_name,
        }

    def _peers(self) -> dict[str, Any]:
        status = self._peer_task.peer.status()._asdict()
        status["far"] = [far._asdict() for far in status["far"]]
        status["dropped_by_reason"] = self._peer_task.dropped_by_reason()
        return status

    def _metrics(self) -> tuple[str, str, bytes]:
        set_gauge = self._env.metrics.set_gauge
        set_gauge("in_progress", "Requests in progress.", self._progress.count)
        set_gauge(
            "table_version", "Table version in force.", self._view.version
        )
        set_gauge(
            "table_age_seconds",
            "Time since the version was known to be the newest.",
            self._view.age / clock.SECOND,
        )
        peers = self._peer_task.peer.status()
        set_gauge("peers_alive", "Members seen alive.", len(peers.alive))
        set_gauge("peers_suspect", "Members in doubt.", len(peers.suspect))
        set_gauge("peer_rejoins", "Lives begun anew.", peers.rejoins)
        set_gauge("peer_acting", "Whether it may act as keeper.", peers.acting)
        set_gauge("table_silent", "Members yet to confirm.", len(peers.silent))
        set_gauge(
            "peer_messages_dropped",
            "Messages of peers dropped, in and out.",
            sum(self._peer_task.dropped_by_reason().values()),
        )
        text = self._env.metrics.render() + self._render_http()
        return "200 OK", _TEXT, text

    def _not_found(self) -> tuple[str, str, bytes]:
        paths = b", ".join(path.encode() for path in self._handler_by_path)
        return "404 Not Found", "text/plain", b"use one of " + paths
