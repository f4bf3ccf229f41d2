"""What a caller has got of a stream."""

from citronvalve.model import clock


class StreamProgress:
    """What a caller has got of a stream, over all tries.

    :ivar last: id of the last event, or None before the first.
    :ivar at: monotonic ms of it.
    :ivar longest: ms of the longest pause.
    """

    def __init__(self) -> None:
        self.last_event_id: int | None = None
        self.last_event_at: clock.Ms = 0
        self.longest_gap: clock.Ms = 0
        self.event_count = 0
