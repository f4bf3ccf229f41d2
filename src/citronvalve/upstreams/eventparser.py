"""Parses an engine's event stream into pieces and heartbeats."""

from collections.abc import Iterator
from typing import Any

import msgspec

from citronvalve.model import decoding
from citronvalve.upstreams import failure
from citronvalve.upstreams import heartbeat
from citronvalve.upstreams import piece as pieces

_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "

#: In bytes.  An event holds one token or a few; an engine that sends more
#: without an event boundary must not exhaust the daemon's memory.
_MAX_EVENT_SIZE = 256 * 1024


class _Event(msgspec.Struct):
    request: str
    offset: int
    text: str = ""
    finish: str = ""


Item = pieces.Piece | heartbeat.Heartbeat | failure.Failure


class EventParser:
    """Incremental parser; blocks may end anywhere within an event.

    :param address: host:port of the upstream, for error messages.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._buffer = b""
        self._decode = msgspec.json.Decoder(_Event).decode

    def feed(self, block: bytes) -> Iterator[Item]:
        """Yield the events that a block completes.

        :param block: the next bytes of the stream.
        """
        data = self._buffer + block if self._buffer else block
        *complete, self._buffer = data.split(_EVENT_END)
        for event in complete:
            yield self._parse(event)
        if len(self._buffer) > _MAX_EVENT_SIZE:
            yield self._malformed("the event has no end within the size limit")

    def _parse(self, event: bytes) -> Item:
        if event.startswith(b":"):
            return heartbeat.HEARTBEAT
        if not event.startswith(_DATA_PREFIX):
            return self._malformed(repr(event[:80]))
        try:
            decoded: Any = self._decode(event[len(_DATA_PREFIX) :])
        except decoding.ERRORS as error:
            return self._malformed(str(error))
        return pieces.Piece(
            decoded.request, decoded.offset, decoded.text, decoded.finish
        )

    def _malformed(self, reason: str) -> failure.Failure:
        return failure.Failure(
            failure.FailureKind.MALFORMED, reason, self._address
        )
