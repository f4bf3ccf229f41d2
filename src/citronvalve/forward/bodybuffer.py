"""Bodies of responses that are buffered until they are complete."""

from citronvalve.forward import exchangeerror
from citronvalve.policy import memoryaccount

#: Largest body in bytes: of an answer, and of a failure that is relayed.
MAX_ANSWER = 8 * 1024 * 1024
MAX_FAILURE = 1024 * 1024

#: Most bytes of a body that is not used.
MAX_UNUSED = 256 * 1024

#: Bytes that all bodies of a daemon may take at the same time.
MAX_TOTAL = 64 * 1024 * 1024


#: Bytes that a piece counts as beside its own: small ones take processor time
#: rather than memory.
_PIECE_COST = 256


class BodySpace:
    """Bytes that bodies may still take, for all requests of a daemon.

    :param free: at the start.
    :param account: counts them, too.
    :ivar free: the bytes that are left.
    """

    def __init__(
        self,
        free: int = MAX_TOTAL,
        account: memoryaccount.MemoryAccount | None = None,
    ) -> None:
        self.free = free
        self._account = account or memoryaccount.MemoryAccount()

    def take(self, size: int) -> None:
        """Take bytes; a negative size gives them back.

        :param size: bytes.
        """
        self.free -= size
        self._account.add(memoryaccount.Part.ANSWERS, size)


class BodyBuffer:
    """One body.

    :param space: shared by all bodies.
    :param most: bytes that it may have.
    :param is_kept: whether it is used, or else only read to its end.
    """

    def __init__(
        self, space: BodySpace, most: int, is_kept: bool = True
    ) -> None:
        self._space = space
        self._left = most
        self._is_kept = is_kept
        self._data = bytearray()
        self._taken = 0

    def add(self, data: bytes) -> None:
        """Add the next bytes.

        :param data: the bytes.
        :raises exchangeerror.ExchangeError: when the body is too large.
        """
        self._left -= len(data) + _PIECE_COST
        if self._left < 0:
            raise _too_large("response body is too large")
        if not self._is_kept:
            return
        if len(data) > self._space.free:
            raise _too_large("bodies of responses take too much memory")
        self._space.take(len(data))
        self._taken += len(data)
        self._data += data

    def content(self) -> bytes:
        """Return the bytes, once all were added; they still take space."""
        content = bytes(self._data)
        self._data = bytearray()
        return content

    def release(self) -> None:
        """Give back the space that it takes."""
        self._space.take(-self._taken)
        self._taken = 0
        self._data = bytearray()


def _too_large(why: str) -> exchangeerror.ExchangeError:
    return exchangeerror.ExchangeError(
        exchangeerror.ExchangeFailure.GARBLED, why
    )
