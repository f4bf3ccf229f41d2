"""What a handler answers a caller with."""

import abc
from collections.abc import Iterable

from citronvalve.forward import headers
from citronvalve.model import refusal


class Reply(abc.ABC):
    """One answer; begun once, and ended or aborted once.

    :ivar begun: whether the caller has got a status.
    """

    started = False

    @abc.abstractmethod
    def check_caller(self) -> None:
        """Make sure that somebody still waits for the answer.

        :raises callergone.CallerGoneError: when the caller has closed.
        """

    @abc.abstractmethod
    def send_whole(
        self, status: int, head: Iterable[headers.Header], body: bytes
    ) -> None:
        """Send an answer in one piece.

        :param status: HTTP status.
        :param head: headers without framing.
        :param body: the whole body.
        """

    @abc.abstractmethod
    def start(self, status: int, head: Iterable[headers.Header]) -> None:
        """Begin an answer whose length is not known.

        :param status: HTTP status.
        :param head: headers without framing.
        """

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Pass on the next bytes of a begun answer.

        :param data: never empty.
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """End a begun answer as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer can't look complete."""

    @abc.abstractmethod
    def send_refusal(self, refused: refusal.Refusal, request_id: str) -> None:
        """Send a refusal.

        :param refused: why there is no answer.
        :param request: the caller's id of it.
        """
