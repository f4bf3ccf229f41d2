"""What may be repeated of a route's requests."""

import enum


class RequestKind(enum.StrEnum):
    """How often one request of a route may run."""

    #: May run any number of times.
    IDEMPOTENT = "idempotent"
    #: May run once; an outcome that is not known stays so.
    AT_MOST_ONCE = "at-most-once"
    #: A series of events with rising ids.
    STREAM = "stream"
