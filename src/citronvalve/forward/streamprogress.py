"""How much of a stream has been relayed."""

from citronvalve.model import clock


class StreamProgress:
    """The part of a stream that the caller has, over all attempts.

    :ivar last_event_id: id of the last event, or None before the first.
    :ivar last_event_at: monotonic ms at which events were last relayed.
    :ivar longest_gap: ms of the longest pause between them.
    :ivar event_count: how many times events were relayed.
    """

    def __init__(self) -> None:
        self.last_event_id: int | None = None
        self.last_event_at: clock.Ms = 0
        self.longest_gap: clock.Ms = 0
        self.event_count = 0
