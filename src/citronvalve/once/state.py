"""State of the only execution of a key."""

import enum


class State(enum.StrEnum):
    """State of the row of a key; a key that was not run has no row."""

    #: The request may be running, or its daemon died before it ended.
    PENDING = "pending"
    #: The service responded.
    DONE = "done"
    #: The request was sent and no response was received.
    UNKNOWN = "unknown"
