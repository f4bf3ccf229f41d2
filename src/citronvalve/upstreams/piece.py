"""One piece of an answer, as a model engine sends it."""

from typing import NamedTuple


class Piece(NamedTuple):
    """Text of one answer and where in that answer it belongs.

    ``offset`` counts the characters of the answer before ``text``.
    ``finish`` is empty until the last piece, which gives the reason.
    """

    request: str
    offset: int
    text: str = ""
    finish: str = ""
