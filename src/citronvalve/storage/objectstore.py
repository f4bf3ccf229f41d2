"""Interface to the platform's object store."""

import abc

from citronvalve.model import missing


class ObjectStore(abc.ABC):
    """Named objects, read and written as a whole; the last write wins."""

    @abc.abstractmethod
    def get(self, name: str) -> bytes | missing.NotFound | missing.Unavailable:
        """Read an object.

        :param name: name of the object.
        """

    @abc.abstractmethod
    def put(
        self, name: str, body: bytes
    ) -> missing.Unavailable | missing.AnswerLost | None:
        """Write an object.

        :param name: name of the object.
        :param body: complete content.
        """
