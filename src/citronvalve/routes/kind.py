"""Kinds of requests by whether they may be repeated."""

import enum


class RequestKind(enum.StrEnum):
    """How often a request of a route may be executed."""

    #: Any number of times.
    IDEMPOTENT = "idempotent"
    #: Once; it is not retried, even if its outcome is unknown.
    AT_MOST_ONCE = "at-most-once"
    #: Sends events with rising ids; repeatable if the route is resumable.
    STREAM = "stream"
