"""Splits a byte stream into server-sent events."""

from typing import NamedTuple

from citronvalve.forward import exchangeerror

_DELIMITER = b"\n\n"

#: Largest event in bytes; what is longer is no event.  Each piece counts as
#: some more, since small ones take processor time rather than memory.
_MAX_EVENT = 1024 * 1024
_PIECE_COST = 256


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
        self._buffer = bytearray()
        self._searched = 0
        self._pieces = 0
        self._ends_with_return = False

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last delimiter."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the new bytes complete.

        :param data: the next bytes.
        :raises exchangeerror.ExchangeError: when an event is too long.
        """
        self._buffer += self._normalize(data)
        self._pieces += 1
        events = []
        start = 0
        while (end := self._buffer.find(_DELIMITER, self._searched)) >= 0:
            raw = bytes(self._buffer[start:end])
            start = self._searched = end + len(_DELIMITER)
            events.append(Event(raw + _DELIMITER, _event_id(raw)))
        if events:
            del self._buffer[:start]
            self._pieces = 1
        # The next bytes may complete a delimiter that has begun.
        self._searched = max(0, len(self._buffer) - 1)
        if len(self._buffer) + _PIECE_COST * self._pieces > _MAX_EVENT:
            raise exchangeerror.ExchangeError(
                exchangeerror.ExchangeFailure.GARBLED,
                f"an event has more than {_MAX_EVENT} bytes",
            )
        return events

    def _normalize(self, data: bytes) -> bytes:
        """Return bytes with the line end of events, ``\\n``."""
        if self._ends_with_return:
            data = b"\r" + data
        self._ends_with_return = data.endswith(b"\r")
        if self._ends_with_return:
            data = data[:-1]
        return data.replace(b"\r\n", b"\n")


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
