"""How far the one run of a key has come."""

import enum


class State(enum.StrEnum):
    """The state of a key's row; a key that was not run has no row."""

    #: The request may be with the service, now or since its daemon died.
    PENDING = "pending"
    #: The service answered.
    DONE = "done"
    #: The request was sent and no answer came.
    UNKNOWN = "unknown"
