"""Readiness and metrics of a daemon that forwards for declared routes."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments

_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4"


class Health:
    """A WSGI application for the balancer and operators.

    :param env: the daemon's environment.
    :param directory: holds the configuration and the upstreams.
    :param ready_path: path of the balancer's readiness check.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        ready_path: str,
    ) -> None:
        self._env = env
        self._directory = directory
        self._handler_by_path = {
            ready_path: self._ready,
            "/metrics": self._metrics,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        handler = self._handler_by_path.get(
            environ["PATH_INFO"], self._not_found
        )
        status, content_type, body = handler()
        start_response(
            status,
            [
                ("Content-Type", content_type),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _ready(self) -> tuple[str, str, bytes]:
        reasons = []
        if not self._directory.ready:
            reasons.append("configuration or upstreams are not known yet")
        if self._env.stopping:
            reasons.append("stopping")
        status = "503 Service Unavailable" if reasons else "200 OK"
        body = {"ready": not reasons, "reasons": reasons}
        return status, _JSON, msgspec.json.encode(body)

    def _metrics(self) -> tuple[str, str, bytes]:
        return "200 OK", _TEXT, self._env.metrics.render()

    def _not_found(self) -> tuple[str, str, bytes]:
        paths = ", ".join(self._handler_by_path)
        return "404 Not Found", "text/plain", f"use one of {paths}".encode()
