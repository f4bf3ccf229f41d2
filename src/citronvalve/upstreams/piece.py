"""One piece of an answer, as an engine sends it."""

from typing import NamedTuple


class Piece(NamedTuple):
    """A span of an answer's text.

    ``offset`` counts the characters of the answer before ``text``.
    ``finish`` is the finish reason; it is empty except in the last piece.
    """

    request: str
    offset: int
    text: str = ""
    finish: str = ""
