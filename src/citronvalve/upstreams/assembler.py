"""Assembles one answer from pieces and rejects pieces that do not fit."""

from citronvalve.model import invariant
from citronvalve.upstreams import failure
from citronvalve.upstreams import piece as pieces

#: Characters before the current offset that a resume requests again.
#: Another upstream may have sampled a different answer; without an overlap
#: its text would be appended unnoticed in mid-sentence.  About ten tokens
#: are enough to tell two answers apart, and they cost an engine a fraction
#: of a second on a rare path.
RESUME_OVERLAP = 32

_CONTIGUOUS = "relayed text continues the caller's own answer"
_WHOLE = "a whole answer ends where its last piece says"


class Assembler:
    """The part of one answer that was relayed, over all connections.

    The relayed text is kept, because repeated text is trimmed only after
    it has been compared: 4,096 tokens are about 16 KB, so 200 streams hold
    some 3 MB of a daemon's 256 MB.

    :param request: id of the current attempt; the owner sets it before
        each attempt if attempts have ids of their own.
    :param invariants: counts the invariant checks; a new one by default.
    :ivar offset: characters relayed so far.
    :ivar finish: the finish reason; empty until the last piece.
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
        """Return whether the last piece was accepted."""
        return bool(self.finish)

    @property
    def resume_at(self) -> int:
        """Return the offset to resume from; see `RESUME_OVERLAP`."""
        return max(0, self.offset - RESUME_OVERLAP)

    def accept(self, piece: pieces.Piece) -> str | failure.Failure:
        """Check a piece of any connection and append its new text.

        :param piece: as the engine sent it.
        :return: the text to relay, which may be empty, or why the piece
            was rejected; a rejected piece does not change the answer.
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
        """Return the whole answer, or a failure if it has not ended."""
        if not self.finish:
            return self._failure(
                failure.FailureKind.BROKEN,
                f"no last piece after offset {self.offset}",
            )
        text = self._relayed_text()
        self._invariants.check(_WHOLE, len(text) == self.offset, self.request)
        return text

    def _find_defect(self, piece: pieces.Piece) -> failure.Failure | None:
        if piece.request != self.request:
            return self._failure(
                failure.FailureKind.STRAY,
                f"the piece belongs to {piece.request!r}",
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
            f"expected offset {self.offset}, the piece has {piece.offset}",
        )

    def _defect_in_overlap(
        self, piece: pieces.Piece
    ) -> failure.Failure | None:
        if piece.offset < 0:
            return self._failure(
                failure.FailureKind.MALFORMED,
                f"the offset is negative: {piece.offset}",
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
                f"the text at offset {piece.offset} differs from relayed text",
            )
        if piece.finish and len(piece.text) < overlap:
            return self._failure(
                failure.FailureKind.DIVERGED,
                f"the end is at {piece.offset}, but {self.offset} are relayed",
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
        # Joined lazily: only repeated text needs it, not each token.
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    def _late_failure(self) -> failure.Failure:
        return self._failure(
            failure.FailureKind.LATE,
            "the piece came after the end of the answer",
        )

    def _failure(
        self, kind: failure.FailureKind, reason: str
    ) -> failure.Failure:
        return failure.Failure(kind, reason, self.request)
