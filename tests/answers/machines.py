"""State machines for the assembly of answers."""

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.upstreams import assembler
from citronvalve.upstreams import piece

_OWN = "own"
_LETTERS = strategies.text("ab\u00e9\U0001f45c ", min_size=8, max_size=40)
_SPANS = strategies.integers(0, 12)


class AssemblerMachine(stateful.RuleBasedStateMachine):
    """An engine that does anything but lie about text not yet relayed."""

    CHECKS = invariant.Invariants()

    @stateful.initialize(truth=_LETTERS)
    def begin(self, truth):
        """Start a connection."""
        self.truth = truth
        self.has = ""
        self.assembler = assembler.Assembler(_OWN, self.CHECKS)

    def _send(self, offset, text, finish="", request=_OWN):
        sent = piece.Piece(request, offset, text, finish)
        given = self.assembler.accept(sent)
        if missing.is_missing(given):
            return given
        self.has += given
        return None

    @stateful.rule(size=_SPANS)
    def continues(self, size):
        """Send the next piece."""
        at = len(self.has)
        wrong = self._send(at, self.truth[at : at + size])
        assert bool(wrong is not None) == self.assembler.finished

    @stateful.rule(at=_SPANS, size=_SPANS)
    def jumps(self, at, size):
        """Send any true piece: a repeat, a gap, or both in turn."""
        self._send(at, self.truth[at : at + size])

    @stateful.rule(at=_SPANS, size=_SPANS)
    def alters(self, at, size):
        """Send a piece whose first character contradicts the relayed."""
        if at >= len(self.has):
            return
        wrong = self._send(at, "#" + self.truth[at + 1 : at + 1 + size])
        assert wrong is not None

    @stateful.rule(at=_SPANS, text=_LETTERS, end=strategies.booleans())
    def crosses(self, at, text, end):
        """Send a piece of another answer, at a fitting offset or not."""
        wrong = self._send(at, text, "stop" if end else "", "other")
        assert wrong is not None

    @stateful.rule(past=strategies.integers(-12, 3))
    def ends(self, past):
        """End the answer, truly or at a place that can't be its end."""
        at = max(0, len(self.has) + past)
        true = at == len(self.truth)
        if true or at != len(self.has):
            self._send(at, "", "stop")

    @stateful.precondition(lambda self: self.has == self.truth)
    @stateful.rule()
    def ends_truly(self):
        """End the answer where it ends."""
        self._send(len(self.truth), "", "stop")

    @stateful.rule()
    def resumes(self):
        """Break the stream and send the rest from the resume offset."""
        at = self.assembler.resume_at
        wrong = self._send(at, self.truth[at:])
        assert bool(wrong is not None) == self.assembler.finished

    @stateful.invariant()
    def caller_has_its_own_answer(self):
        """Compare with the truth."""
        if not hasattr(self, "has"):
            return
        assert self.truth.startswith(self.has)
        whole = self.assembler.whole()
        if self.assembler.finished:
            assert whole == self.truth == self.has
        else:
            assert missing.is_missing(whole)


MACHINES = (AssemblerMachine,)
