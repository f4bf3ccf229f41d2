"""The interface with which a handler answers a caller."""

import abc
from collections.abc import Iterable
import socket as socket_

from citronvalve.forward import headers
from citronvalve.model import refusal


class Reply(abc.ABC):
    """One response; started once, and finished or aborted once.

    :ivar started: whether a status was sent to the caller.
    """

    started = False

    @property
    def socket(self) -> socket_.socket | None:
        """Return the caller's connection, None if there is none."""
        return None

    @abc.abstractmethod
    def check_caller(self) -> None:
        """Check that the caller is still connected.

        :raises callergone.CallerGoneError: when the caller has closed.
        """

    @abc.abstractmethod
    def send_whole(
        self, status: int, head: Iterable[headers.Header], body: bytes
    ) -> None:
        """Send a complete response.

        :param status: HTTP status.
        :param head: headers without framing.
        :param body: the complete body.
        """

    @abc.abstractmethod
    def start(self, status: int, head: Iterable[headers.Header]) -> None:
        """Start a response of unknown length.

        :param status: HTTP status.
        :param head: headers without framing.
        """

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Send the next bytes of a started response.

        :param data: never empty.
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """End a started response as complete."""

    def wait_written(self) -> None:
        """Wait until the caller has taken the response.

        :raises callergone.CallerGoneError: when the caller does not.
        :raises OSError: when the connection is closed.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the response is seen as incomplete."""

    @abc.abstractmethod
    def send_refusal(self, refused: refusal.Refusal, request_id: str) -> None:
        """Send a refusal.

        :param refused: the refusal.
        :param request_id: the id of the refused request.
        """
