"""Storage of response bodies, in the row or in the object store."""

import hashlib

from citronvalve.model import missing
from citronvalve.once import response as responses
from citronvalve.once import storedresponse as storedresponses
from citronvalve.storage import objectstore

#: Largest body stored in a row, in bytes.  A certificate is a few kilobytes.
#: At about 20 responses a transaction, larger bodies would make the size
#: of the writes the bottleneck of the store instead of their number.
MAX_INLINE_BYTES = 16 * 1024

#: Largest body stored at all, in bytes.  A larger body is relayed but not
#: stored; a repeat receives only the status of the response.
MAX_STORED_BYTES = 8 * 1024 * 1024

_PUT_ATTEMPTS = 3


class BodyStore:
    """Stores and loads response bodies.

    :param objects: store of the bodies that are too large for a row.
    """

    def __init__(self, objects: objectstore.ObjectStore) -> None:
        self._objects = objects

    def store(
        self, response: responses.Response, name: str
    ) -> storedresponses.StoredResponse:
        """Store a response, without its body if that can't be stored.

        :param response: response of the service.
        :param name: name of the object, unique to the attempt.
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
        """Return the complete response, or missing.

        :param stored: stored response from the row of the key.
        """
        body: bytes | missing.Missing = stored.body
        if stored.place is storedresponses.BodyLocation.NOWHERE:
            return missing.NotFound("the body was not stored")
        if stored.place is storedresponses.BodyLocation.OBJECT:
            body = self._get(stored)
        if missing.is_missing(body):
            return body
        return responses.Response(stored.status, stored.content_type, body)

    def _put(self, name: str, body: bytes) -> bool:
        # The name is unique to the attempt, so a repeated put is harmless.
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
            return missing.NotFound(
                "the object does not match its digest", stored.name
            )
        return body
