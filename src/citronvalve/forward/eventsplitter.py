"""Cuts a stream of events at their borders."""

from typing import NamedTuple

_DELIMITER = b"\n\n"


class Event(NamedTuple):
    """One event with its border; ``id`` is None where it has none."""

    raw: bytes
    id: int | None


class EventSplitter:
    """Holds back what is not yet a whole event.

    Made for an upstream that ends in the middle of an event: half an event
    that was passed on could not be taken back, and the resumed stream would
    repeat it.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last border."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now.

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
