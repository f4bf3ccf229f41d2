"""HTTP client for model engines."""

import eventlet
import msgspec
import urllib3

from citronvalve.model import clock
from citronvalve.model import decoding
from citronvalve.upstreams import enginestream
from citronvalve.upstreams import failure
from citronvalve.upstreams import httperror
from citronvalve.upstreams import order as orders
from citronvalve.upstreams import pools

_JSON = {"Content-Type": "application/json"}
_CANCEL_TIMEOUT: clock.Ms = 1_000
_MAX_SHOWN_BYTES = 200


class EngineClient:
    """Sends generate and cancel requests to engines.

    :param connections: the connection pools.
    """

    def __init__(self, connections: pools.Pools) -> None:
        self._pools = connections

    def generate(
        self, address: str, order: orders.GenerateOrder, remaining: clock.Ms
    ) -> enginestream.EngineStream | failure.Failure:
        """Start generating an answer.

        :param address: host:port of the upstream.
        :param order: what to generate, from which offset.
        :param remaining: ms until the caller's deadline.
        :return: the open stream, or why there is none.
        """
        idle_timeout = min(pools.IDLE_TIMEOUT, max(1, remaining))
        on_answer = self._pools.on_sending(address)
        try:
            response = self._pools.get(address).urlopen(
                "POST",
                "/generate",
                body=msgspec.json.encode(order),
                headers=_JSON,
                retries=False,
                redirect=False,
                timeout=pools.timeout(idle_timeout),
                preload_content=False,
            )
        except httperror.ERRORS as error:
            return self.handle_failure(
                httperror.classify(error, address), address
            )
        on_answer(response.headers, response.status)
        if response.status != 200:
            return _read_rejection(response, address)
        return enginestream.EngineStream(response, address, remaining)

    def handle_failure(
        self, cause: failure.Failure, address: str
    ) -> failure.Failure:
        """Drop the pooled connections of an upstream that went silent.

        :param cause: why the attempt failed.
        :param address: host:port of the upstream.
        :return: ``cause``.
        """
        if cause.kind is failure.FailureKind.SILENT:
            self._pools.drop(address)
        return cause

    def cancel(self, address: str, request: str) -> None:
        """Cancel an attempt in the background.

        :param address: host:port of the upstream.
        :param request: id of the attempt.
        """
        # In a task of its own: an unreachable upstream would delay the
        # caller's answer by the connect timeout.
        eventlet.spawn_n(self._send_cancel, address, request)

    def _send_cancel(self, address: str, request: str) -> None:
        body = msgspec.json.encode({"request": request})
        try:
            self._pools.get(address).urlopen(
                "POST",
                "/cancel",
                body=body,
                headers=_JSON,
                retries=False,
                timeout=pools.timeout(_CANCEL_TIMEOUT),
            )
        except httperror.ERRORS:
            # The engine detects the closed connection by itself, later.
            return


def _read_rejection(
    response: urllib3.BaseHTTPResponse, address: str
) -> failure.Failure:
    body = response.read(_MAX_SHOWN_BYTES)
    response.close()
    reason = f"status {response.status}: {body.decode(errors='replace')}"
    kind = (
        failure.FailureKind.REFUSED
        if reports_not_run(body)
        else failure.FailureKind.BROKEN
    )
    return failure.Failure(kind, reason, address)


def reports_not_run(body: bytes) -> bool:
    """Return whether a response body proves that the request did not run.

    A status alone proves nothing: an intermediary may have produced it
    after the upstream had run the request.

    :param body: JSON with ``"ran": "no"`` if the request did not run.
    """
    try:
        decoded = msgspec.json.decode(body)
    except decoding.ERRORS:
        return False
    return isinstance(decoded, dict) and decoded.get("ran") == "no"
