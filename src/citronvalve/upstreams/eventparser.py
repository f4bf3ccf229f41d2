"""Takes an engine's bytes apart into pieces and heartbeats."""

from collections.abc import Iterator
from typing import Any

import msgspec

from citronvalve.upstreams import failure
from citronvalve.upstreams import heartbeat
from citronvalve.upstreams import piece as pieces

_END = b"\n\n"
_DATA = b"data: "

#: One event holds one token, or a few; an engine that sends more without
#: an end of event is broken and must not fill the daemon's memory.
_LARGEST_EVENT = 256 * 1024


class _Event(msgspec.Struct):
    request: str
    offset: int
    text: str = ""
    finish: str = ""


Item = pieces.Piece | heartbeat.Heartbeat | failure.Failure


class EventParser:
    """Splits a stream at its event boundaries, wherever bytes were cut.

    :param where: address of the upstream, for errors.
    """

    def __init__(self, address: str) -> None:
        self._where = address
        self._rest = b""
        self._decode = msgspec.json.Decoder(_Event).decode

    def feed(self, block: bytes) -> Iterator[Item]:
        """Yield what a block completes.

        :param block: the next bytes.
        """
        data = self._rest + block if self._rest else block
        *whole, self._rest = data.split(_END)
        for event in whole:
            yield self._read(event)
        if len(self._rest) > _LARGEST_EVENT:
            yield self._malformed("an event without an end")

    def _read(self, event: bytes) -> Item:
        if event.startswith(b":"):
            return heartbeat.HEARTBEAT
        if not event.startswith(_DATA):
            return self._malformed(repr(event[:80]))
        try:
            read: Any = self._decode(event[len(_DATA) :])
        except msgspec.MsgspecError as error:
            return self._malformed(str(error))
        return pieces.Piece(read.request, read.offset, read.text, read.finish)

    def _malformed(self, reason: str) -> failure.Failure:
        return failure.Failure(
            failure.FailureKind.MALFORMED, reason, self._where
        )
