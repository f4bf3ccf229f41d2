"""An answer as it is kept in a key's row."""

import enum
from typing import NamedTuple


class BodyLocation(enum.StrEnum):
    """Where the body of a kept answer is."""

    ROW = "row"
    OBJECT = "object"
    #: Too large, or the object store failed; only the status is known.
    NOWHERE = "nowhere"


class StoredResponse(NamedTuple):
    """An answer, with its body or where that is.

    ``name`` names the object and ``sha256`` is the hex digest of its
    content, so that an object cut short is never replayed as the answer.
    """

    status: int
    content_type: str
    place: BodyLocation
    body: bytes = b""
    name: str = ""
    sha256: str = ""
