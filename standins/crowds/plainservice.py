"""A plain runner with few slots, as the users' platform describes it."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.wsgi

from standins import process

_SLOTS = 2
_WORK = 0.3


class PlainService:
    """Runs a request for a while, and turns away what has no slot.

    :param name: its id.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._running = 0
        self._socket = process.listen(256)
        self.address = "127.0.0.1:%d" % self._socket.getsockname()[1]
        self._task = eventlet.spawn(
            eventlet.wsgi.server, self._socket, self, log_output=False
        )

    def close(self) -> None:
        """Stop serving."""
        self._task.kill()
        self._socket.close()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        environ["wsgi.input"].read()
        number = environ.get("HTTP_X_ATTEMPT_ID", "")
        head = [("X-Attempt-Id", number), ("X-Runner-Id", self._name)]
        if self._running >= _SLOTS:
            start_response("503 Full", [*head, ("X-Not-Executed", "1")])
            return [b""]
        self._running += 1
        try:
            eventlet.sleep(_WORK)
        finally:
            self._running -= 1
        start_response("200 OK", [*head, ("X-Runner-Seal", "seal")])
        return [b"done"]
