"""Keeps the bodies of answers, small ones in the row."""

import hashlib

from citronvalve.model import missing
from citronvalve.once import answer as answers
from citronvalve.once import kept as keeping
from citronvalve.storage import objectstore

#: Largest body in a row, in bytes.  A certificate is a few kilobytes; at
#: some 20 answers a transaction, larger ones would make the store's writes
#: a matter of bytes instead of number.
MOST_IN_ROW = 16 * 1024

#: Largest body that is kept at all, in bytes.  What is larger is relayed,
#: and a repeat is told that it ran and with which status.
MOST_KEPT = 8 * 1024 * 1024

_TRIES = 3


class Vault:
    """Puts bodies away and gets them back.

    :param objects: holds what is too large for a row.
    """

    def __init__(self, objects: objectstore.ObjectStore) -> None:
        self._objects = objects

    def keep(self, answer: answers.Answer, name: str) -> keeping.Kept:
        """Put an answer away; a body that can't be kept is left out.

        :param answer: as the service gave it.
        :param name: of the object, unique to the attempt.
        """
        status, content_type, body = answer
        if len(body) <= MOST_IN_ROW:
            return keeping.Kept(status, content_type, keeping.Place.ROW, body)
        if len(body) > MOST_KEPT or not self._put(name, body):
            return keeping.Kept(status, content_type, keeping.Place.NOWHERE)
        return keeping.Kept(
            status,
            content_type,
            keeping.Place.OBJECT,
            name=name,
            sha256=hashlib.sha256(body).hexdigest(),
        )

    def load(self, kept: keeping.Kept) -> answers.Answer | missing.Missing:
        """Get an answer back, whole or not at all.

        :param kept: from the key's row.
        """
        body: bytes | missing.Missing = kept.body
        if kept.place is keeping.Place.NOWHERE:
            return missing.NotFound("the body was not kept")
        if kept.place is keeping.Place.OBJECT:
            body = self._get(kept)
        if missing.is_missing(body):
            return body
        return answers.Answer(kept.status, kept.content_type, body)

    def _put(self, name: str, body: bytes) -> bool:
        # The name is the attempt's own, so that writing twice is the same.
        return any(
            self._objects.put(name, body) is None for _ in range(_TRIES)
        )

    def _get(self, kept: keeping.Kept) -> bytes | missing.Missing:
        body = self._objects.get(kept.name)
        if missing.is_missing(body):
            return body
        if hashlib.sha256(body).hexdigest() != kept.sha256:
            return missing.NotFound("the object has changed", kept.name)
        return body
