"""Why a caller's request was not read to its end."""

import enum


class NotRead(enum.StrEnum):
    """Why a daemon ended a connection in the middle of a request."""

    #: The rest did not come in time.
    TOO_SLOW = "too slow"
    #: It was rejected, or the caller closed the connection.
    MALFORMED = "malformed"
