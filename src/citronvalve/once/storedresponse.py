"""A response as it is stored in the row of a key."""

import enum
from typing import NamedTuple


class BodyLocation(enum.StrEnum):
    """Where the body of a stored response is."""

    ROW = "row"
    OBJECT = "object"
    #: Not stored: too large, or the object store failed.
    NOWHERE = "nowhere"


class StoredResponse(NamedTuple):
    """A response with its body, or with the location of its body.

    ``name`` is the name of the object.  ``sha256`` is the hex digest of its
    content, so that a truncated object is never replayed.
    """

    status: int
    content_type: str
    place: BodyLocation
    body: bytes = b""
    name: str = ""
    sha256: str = ""
