"""Decoders that take the framing off a request's body."""

import abc
from collections.abc import Callable
import re

from citronvalve.model import errors

#: A chunk's size and its extensions, which nothing here reads.
_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]{0,16}(?:;[^\r\n\0]{0,16000})?\r\n"
)

#: A trailer field.  Trailers are dropped.
_TRAILER = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,200}:[^\r\n\0]{0,16000}\r\n"
)

_LINE_END = b"\r\n"

#: Bytes of the longest size line or trailer.
_MAX_LINE = 16_384

#: Trailer fields of a body.
_MAX_TRAILERS = 100

#: Bytes of the largest chunks that are decoded together, and the least bytes
#: of all of them.
_MAX_RUN_CHUNK = 64
_MIN_RUN = 512


#: Decodes one piece of a framing; returns whether it was there.
_Step = Callable[[list[bytes], int], bool]


class BodyError(errors.RequestError):
    """The bytes are no body in the framing that the head announced.

    :param why: the cause.
    """

    def __init__(self, why: str) -> None:
        super().__init__(why, remedy="send a well-formed body")


class BodyDecoder(abc.ABC):
    """Takes the framing off a body as its bytes arrive.

    :ivar is_complete: whether the end of the body was decoded.
    :ivar pieces: how many pieces of the framing were decoded.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.pieces = 0

    @property
    @abc.abstractmethod
    def announced(self) -> int:
        """Return the bytes of content that are known to follow."""

    @property
    @abc.abstractmethod
    def undecoded(self) -> bytes:
        """Return the bytes that were fed and not decoded.

        Once the body is complete, they follow it on the connection.
        """

    @abc.abstractmethod
    def feed(self, data: bytes) -> None:
        """Take bytes as received.

        :param data: the bytes.
        """

    @abc.abstractmethod
    def decode(self, most: int) -> bytes:
        """Return the next content; none if more bytes are needed.

        :param most: pieces of the framing to decode at most.
        :raises BodyError: when the bytes break the framing.
        """


class LengthDecoder(BodyDecoder):
    """A body of announced length.

    :param length: bytes.
    """

    def __init__(self, length: int) -> None:
        super().__init__()
        self._left = length
        self._data = b""
        self.is_complete = not length

    @property
    def announced(self) -> int:
        return self._left

    @property
    def undecoded(self) -> bytes:
        return self._data

    def feed(self, data: bytes) -> None:
        self._data += data

    def decode(self, most: int) -> bytes:
        content = self._data[: self._left]
        self._data = self._data[self._left :]
        self._left -= len(content)
        self.is_complete = not self._left
        self.pieces += bool(content)
        return content


class ChunkedDecoder(BodyDecoder):
    """A body in chunks.

    Line ends other than CR LF are refused: an intermediary that accepts them
    would see the body end elsewhere.
    """

    def __init__(self) -> None:
        super().__init__()
        self._data = b""
        self._at = 0
        self._left_of_chunk = 0
        self._trailers = 0
        self._is_fed = False
        self._step: _Step = self._decode_size

    @property
    def announced(self) -> int:
        return self._left_of_chunk

    @property
    def undecoded(self) -> bytes:
        return self._data[self._at :]

    def feed(self, data: bytes) -> None:
        self._data = self._data[self._at :] + data
        self._at = 0
        self._is_fed = True

    def decode(self, most: int) -> bytes:
        found: list[bytes] = []
        end = self.pieces + most
        while self.pieces < end and not self.is_complete:
            if not self._step(found, end):
                break
        return b"".join(found)

    def _decode_size(self, found: list[bytes], end: int) -> bool:
        if self._is_fed:
            self._is_fed = False
            self._decode_run(found)
        self._decode_whole_chunks(found, end)
        if self.pieces >= end:
            return True
        line = _SIZE_LINE.match(self._data, self._at)
        if line is None:
            return self._wait_for_line("a chunk's size")
        self.pieces += 1
        self._at = line.end()
        self._left_of_chunk = int(line[1], 16)
        self._step = (
            self._decode_content
            if self._left_of_chunk
            else self._decode_trailer
        )
        return True

    def _decode_run(self, found: list[bytes]) -> None:
        """Decode chunks of one small size together, if all are.

        One at a time, a chunk of one byte costs as much as one of 64 KiB.

        :param found: takes the content.
        """
        line = _SIZE_LINE.match(self._data, self._at)
        if line is None or len(self._data) - self._at < _MIN_RUN:
            return
        size = int(line[1], 16)
        if not 0 < size <= _MAX_RUN_CHUNK:
            return
        content_at = len(line[0])
        frame = content_at + size + len(_LINE_END)
        count = (len(self._data) - self._at) // frame
        run = self._data[self._at : self._at + count * frame]
        framing = line[0] + bytes(size) + _LINE_END
        for at, byte in enumerate(framing):
            is_content = content_at <= at < content_at + size
            if not is_content and run[at::frame].strip(bytes([byte])):
                return
        content = bytearray(count * size)
        for at in range(size):
            content[at::size] = run[content_at + at :: frame]
        found.append(bytes(content))
        self.pieces += bool(count)
        self._at += count * frame

    def _decode_whole_chunks(self, found: list[bytes], end: int) -> None:
        """Decode chunks that have arrived whole.

        :param found: takes the content.
        :param end: count of pieces at which to stop.
        """
        data, at = self._data, self._at
        for _ in range(self.pieces, end):
            line = _SIZE_LINE.match(data, at)
            if line is None:
                break
            size = int(line[1], 16)
            start = line.end()
            stop = start + size
            if not size or data[stop : stop + 2] != _LINE_END:
                break
            found.append(data[start:stop])
            at = stop + 2
            self.pieces += 1
        self._at = at

    def _decode_content(self, found: list[bytes], _end: int) -> bool:
        content = self._data[self._at : self._at + self._left_of_chunk]
        self._at += len(content)
        self._left_of_chunk -= len(content)
        found.append(content)
        if self._left_of_chunk:
            return False
        self._step = self._decode_chunk_end
        return True

    def _decode_chunk_end(self, _found: list[bytes], _end: int) -> bool:
        end = self._data[self._at : self._at + len(_LINE_END)]
        if not _LINE_END.startswith(end):
            raise BodyError("a chunk is longer than its size")
        if len(end) < len(_LINE_END):
            return False
        self._at += len(end)
        self._step = self._decode_size
        return True

    def _decode_trailer(self, _found: list[bytes], _end: int) -> bool:
        if self._data.startswith(_LINE_END, self._at):
            self._at += len(_LINE_END)
            self.is_complete = True
            return True
        line = _TRAILER.match(self._data, self._at)
        if line is None:
            return self._wait_for_line("a trailer")
        self._at = line.end()
        self._trailers += 1
        if self._trailers > _MAX_TRAILERS:
            raise BodyError(f"it has more than {_MAX_TRAILERS} trailers")
        return True

    def _wait_for_line(self, what: str) -> bool:
        """Return False if a line may still be completed.

        :param what: what the line should be.
        :raises BodyError: if it is another line, or too long.
        """
        if self._data.find(b"\n", self._at) >= 0:
            raise BodyError(f"a line is not {what}")
        if len(self._data) - self._at > _MAX_LINE:
            raise BodyError(f"{what} is longer than {_MAX_LINE} bytes")
        return False
