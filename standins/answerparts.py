"""Parts of the answers of a scripted runner."""

#: Makes a socket's close a reset.
RESET = b"\1\0\0\0\0\0\0\0"

#: Seconds of a pause that a runner makes in the middle of an answer.
PAUSE = 0.8


def event(number: int, size: int = 0) -> bytes:
    """Return an event of a stream.

    :param number: its id.
    :param size: bytes that it has at least.
    """
    piece = b"id: %d\ndata: piece %d" % (number, number)
    return piece.ljust(size - 2, b".") + b"\n\n"


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body.

    :param data: its content.
    """
    return b"%x\r\n%s\r\n" % (len(data), data)
