"""The platform's object store, as the system sees it."""

import abc

from citronvalve.model import missing


class ObjectStore(abc.ABC):
    """Whole objects by name; the last write wins."""

    @abc.abstractmethod
    def get(self, name: str) -> bytes | missing.NotFound | missing.Unavailable:
        """Read an object.

        :param name: its name.
        """

    @abc.abstractmethod
    def put(
        self, name: str, body: bytes
    ) -> missing.Unavailable | missing.AnswerLost | None:
        """Write an object.

        :param name: its name.
        :param body: its whole content.
        """
