"""Splits a byte stream into server-sent events."""

from typing import NamedTuple

_DELIMITER = b"\n\n"


class Event(NamedTuple):
    """One event with its delimiter; ``id`` is None where it has none."""

    raw: bytes
    id: int | None


class EventSplitter:
    """Buffers bytes until an event is complete.

    An upstream may fail in the middle of an event.  A partial event that
    was relayed could not be undone, and the resumed stream would repeat it.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last delimiter."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the new bytes complete.

        :param data: the next bytes.
        """
        data = self._remainder + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *complete, self._remainder = data.split(_DELIMITER)
        return [Event(raw + _DELIMITER, _event_id(raw)) for raw in complete]


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
