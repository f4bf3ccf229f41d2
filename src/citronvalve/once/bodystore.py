"""Keeps the bodies of answers, small ones in the row."""

import hashlib

from citronvalve.model import missing
from citronvalve.once import response as responses
from citronvalve.once import storedresponse as storedresponses
from citronvalve.storage import objectstore

#: Largest body in a row, in bytes.  A certificate is a few kilobytes; at
#: some 20 answers a transaction, larger ones would make the store's writes
#: a matter of bytes instead of number.
MAX_INLINE_BYTES = 16 * 1024

#: Largest body that is kept at all, in bytes.  What is larger is relayed,
#: and a repeat is told that it ran and with which status.
MAX_STORED_BYTES = 8 * 1024 * 1024

_PUT_ATTEMPTS = 3


class BodyStore:
    """Puts bodies away and gets them back.

    :param objects: holds what is too large for a row.
    """

    def __init__(self, objects: objectstore.ObjectStore) -> None:
        self._objects = objects

    def store(
        self, response: responses.Response, name: str
    ) -> storedresponses.StoredResponse:
        """Put an answer away; a body that can't be kept is left out.

        :param answer: as the service gave it.
        :param name: of the object, unique to the attempt.
        """
        status, content_type, body = response
        if len(body) <= MAX_INLINE_BYTES:
            return storedresponses.StoredResponse(
                status, content_type, storedresponses.BodyLocation.ROW, body
            )
        if len(body) > MAX_STORED_BYTES or not self._put(name, body):
            return storedresponses.StoredResponse(
                status, content_type, storedresponses.BodyLocation.NOWHERE
            )
        return storedresponses.StoredResponse(
            status,
            content_type,
            storedresponses.BodyLocation.OBJECT,
            name=name,
            sha256=hashlib.sha256(body).hexdigest(),
        )

    def load(
        self, stored: storedresponses.StoredResponse
    ) -> responses.Response | missing.Missing:
        """Get an answer back, whole or not at all.

        :param kept: from the key's row.
        """
        body: bytes | missing.Missing = stored.body
        if stored.place is storedresponses.BodyLocation.NOWHERE:
            return missing.NotFound("the body was not kept")
        if stored.place is storedresponses.BodyLocation.OBJECT:
            body = self._get(stored)
        if missing.is_missing(body):
            return body
        return responses.Response(stored.status, stored.content_type, body)

    def _put(self, name: str, body: bytes) -> bool:
        # The name is the attempt's own, so that writing twice is the same.
        return any(
            self._objects.put(name, body) is None for _ in range(_PUT_ATTEMPTS)
        )

    def _get(
        self, stored: storedresponses.StoredResponse
    ) -> bytes | missing.Missing:
        body = self._objects.get(stored.name)
        if missing.is_missing(body):
            return body
        if hashlib.sha256(body).hexdigest() != stored.sha256:
            return missing.NotFound("the object has changed", stored.name)
        return body
