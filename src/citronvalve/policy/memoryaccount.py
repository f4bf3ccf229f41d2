"""The account of a daemon's memory, in parts."""

from collections.abc import Callable
import enum

#: A full account is open again below this part of its limit, so that it does
#: not open and close with each request.
_OPEN_BELOW = 0.9


class Part(enum.StrEnum):
    """What the memory is taken for."""

    #: Bodies of callers' requests.
    REQUESTS = "requests"
    #: Bodies of upstreams' responses, until they are complete.
    ANSWERS = "answers"
    #: What callers have not read yet.
    UNSENT = "unsent"
    #: Callers' connections.
    CONNECTIONS = "connections"
    #: What is known of upstreams.
    TABLES = "tables"


class MemoryAccount:
    """Counts bytes by part, and tells when there is no room for more.

    :param limit: bytes of all parts; 0 is none.
    :ivar on_change: called when it becomes full, and when it opens again.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self._bytes_by_part = dict.fromkeys(Part, 0)
        self._peak_by_part = dict(self._bytes_by_part)
        self._total = 0
        self._peak = 0
        self._is_full = False
        self.on_change: Callable[[bool], None] = lambda is_full: None

    @property
    def total(self) -> int:
        """Return the bytes of all parts."""
        return self._total

    @property
    def peak(self) -> int:
        """Return the most bytes that all parts had at the same time."""
        return self._peak

    @property
    def is_full(self) -> bool:
        """Return whether new work has no room; what runs goes on."""
        return self._is_full

    def bytes_of(self, part: Part) -> int:
        """Return the bytes of a part.

        :param part: the part.
        """
        return self._bytes_by_part[part]

    def peak_of(self, part: Part) -> int:
        """Return the most bytes that a part had.

        :param part: the part.
        """
        return self._peak_by_part[part]

    def add(self, part: Part, size: int) -> None:
        """Count bytes; a negative size takes them off.

        :param part: the part.
        :param size: bytes.
        """
        held = self._bytes_by_part[part] + size
        self._bytes_by_part[part] = held
        self._total += size
        if size > 0:
            if held > self._peak_by_part[part]:
                self._peak_by_part[part] = held
            if self._total > self._peak:
                self._peak = self._total
        if self.limit:
            self._update()

    def set(self, part: Part, size: int) -> None:
        """State the bytes of a part that is not counted by each change.

        :param part: the part.
        :param size: bytes.
        """
        self.add(part, size - self._bytes_by_part[part])

    def _update(self) -> None:
        least = self.limit * _OPEN_BELOW if self._is_full else self.limit
        is_full = self._total >= least
        if is_full is not self._is_full:
            self._is_full = is_full
            self.on_change(is_full)
