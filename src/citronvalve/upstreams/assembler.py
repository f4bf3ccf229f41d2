"""Puts the pieces of one answer together, or says which piece is wrong."""

from citronvalve.model import invariant
from citronvalve.upstreams import failure
from citronvalve.upstreams import piece as pieces

#: How much text that the caller already has is asked for again on a
#: resume, in characters.  Another upstream may have sampled other words;
#: without an overlap its text would be joined unseen in mid-sentence.
#: Some ten tokens tell two answers apart, and cost an engine a fraction of
#: a second of a resume that is rare.
RESUME_OVERLAP = 32

_CONTIGUOUS = "relayed text continues the caller's own answer"
_WHOLE = "a whole answer ends where its last piece says"


class Assembler:
    """What a caller has of one answer so far, over all its connections.

    It holds the relayed text, since a repeat is trimmed only when it is
    the same text: 4,096 tokens are about 16 KB, so 200 streams hold some
    3 MB of a daemon's 256 MB.

    :param request: id of the request that the answer belongs to; whoever
        gives each try an id of its own sets it before the try.
    :param promises: counts the invariants; a fresh one by default.
    :ivar offset: characters relayed so far.
    :ivar finish: the reason of the end; empty until then.
    """

    __slots__ = ("_invariants", "_parts", "finish", "offset", "request")

    def __init__(
        self, request: str, invariants: invariant.Invariants | None = None
    ) -> None:
        self.request = request
        self.offset = 0
        self.finish = ""
        self._parts: list[str] = []
        self._invariants = invariants or invariant.Invariants()

    @property
    def finished(self) -> bool:
        """Tell whether the last piece came and the answer is whole."""
        return bool(self.finish)

    @property
    def resume_at(self) -> int:
        """Return the offset to ask for when resuming; see `OVERLAP`."""
        return max(0, self.offset - RESUME_OVERLAP)

    def accept(self, piece: pieces.Piece) -> str | failure.Failure:
        """Take the next piece of any connection.

        :param piece: as the engine sent it.
        :return: the text to pass on, which may be empty, or what is wrong;
            after trouble the answer is as it was before.
        """
        defect = self._find_defect(piece)
        if defect is not None:
            return defect
        text = piece.text
        if piece.offset != self.offset:
            text = text[self.offset - piece.offset :]
        if piece.finish:
            return self._append_last(piece, text)
        return self._append(text, piece.offset + len(piece.text))

    def whole(self) -> str | failure.Failure:
        """Return the whole answer, for a caller who does not stream."""
        if not self.finish:
            return self._failure(
                failure.FailureKind.BROKEN, f"no end after {self.offset}"
            )
        text = self._relayed_text()
        self._invariants.check(_WHOLE, len(text) == self.offset, self.request)
        return text

    def _find_defect(self, piece: pieces.Piece) -> failure.Failure | None:
        if piece.request != self.request:
            return self._failure(
                failure.FailureKind.STRAY, f"a piece of {piece.request!r}"
            )
        if piece.offset == self.offset and not self.finish:
            return None
        if piece.offset > self.offset:
            return self._defect_beyond_offset(piece)
        return self._defect_in_overlap(piece)

    def _defect_beyond_offset(self, piece: pieces.Piece) -> failure.Failure:
        if self.finish:
            return self._late_failure()
        return self._failure(
            failure.FailureKind.GAP,
            f"{self.offset} relayed, the piece starts at {piece.offset}",
        )

    def _defect_in_overlap(
        self, piece: pieces.Piece
    ) -> failure.Failure | None:
        if piece.offset < 0:
            return self._failure(
                failure.FailureKind.MALFORMED, f"offset {piece.offset}"
            )
        if self.finish:
            return self._late_failure()
        overlap = self.offset - piece.offset
        relayed = self._relayed_text()[
            piece.offset : piece.offset + len(piece.text)
        ]
        if piece.text[:overlap] != relayed:
            return self._failure(
                failure.FailureKind.DIVERGED,
                f"other text at {piece.offset} than was relayed",
            )
        if piece.finish and len(piece.text) < overlap:
            return self._failure(
                failure.FailureKind.DIVERGED,
                f"ends at {piece.offset}, {self.offset} are relayed",
            )
        return None

    def _append(self, text: str, end: int) -> str:
        if not text:
            return text
        self._invariants.check(
            _CONTIGUOUS, self.offset + len(text) == end, self.request
        )
        self._parts.append(text)
        self.offset = end
        return text

    def _append_last(self, piece: pieces.Piece, text: str) -> str:
        text = self._append(text, piece.offset + len(piece.text))
        self.finish = piece.finish
        return text

    def _relayed_text(self) -> str:
        # Joined only when a repeat comes, never on the way of a token.
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    def _late_failure(self) -> failure.Failure:
        return self._failure(
            failure.FailureKind.LATE, "a piece after the end of the answer"
        )

    def _failure(
        self, kind: failure.FailureKind, reason: str
    ) -> failure.Failure:
        return failure.Failure(kind, reason, self.request)
