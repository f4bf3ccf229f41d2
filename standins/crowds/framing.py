"""How one body is framed and sent."""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

_AT_ONCE = 65_536


class Framing(NamedTuple):
    """Bytes of each send, 0 for any; bytes of the chunks in turn.

    A chunk of 0 bytes stands for a body that is not chunked.
    """

    piece: int
    chunks: tuple[int, ...]

    @property
    def line(self) -> str:
        """Return the line of the head that tells the framing."""
        if self.chunks == (0,):
            return "Content-Length: {size}"
        return "Transfer-Encoding: chunked"

    def pieces(self, size: int) -> Iterator[bytes]:
        """Yield what is sent for a body.

        :param size: bytes of the body.
        """
        if self.chunks == (0,):
            piece = self.piece or size
            for at in range(0, size, piece):
                yield bytes(min(piece, size - at))
            return
        buffered = bytearray()
        left = size
        for chunk in itertools.cycle(self.chunks):
            taken = min(chunk, left)
            buffered += b"%x\r\n%b\r\n" % (taken, bytes(taken))
            left -= taken
            if len(buffered) >= _AT_ONCE:
                yield bytes(buffered)
                buffered.clear()
            if not left:
                break
        yield bytes(buffered) + b"0\r\n\r\n"
