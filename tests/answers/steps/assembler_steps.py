"""Steps about the assembly of answers."""

import behave
import parse

from citronvalve.model import missing
from citronvalve.upstreams import assembler
from citronvalve.upstreams import piece
from tests import machinery


@parse.with_pattern(r'[^"]*')
def _text(value):
    return value


behave.register_type(Text=_text)


@behave.given('an answer of request "{request}" with "{text}" relayed')
def step_relayed(context, request, text):
    context.assembler = assembler.Assembler(request)
    context.has = context.assembler.accept(piece.Piece(request, 0, text))


@behave.when(
    'the piece {request:w}, {offset:d}, "{text:Text}", "{finish:Text}" comes'
)
def step_piece(context, request, offset, text, finish):
    sent = piece.Piece(request, offset, text, finish)
    context.result = context.assembler.accept(sent)
    if not missing.is_missing(context.result):
        context.has += context.result


@behave.then("it gives {result:w}")
def step_gives(context, result):
    actual = context.result
    kind = actual.kind.value if missing.is_missing(actual) else "text"
    assert kind == result, actual


@behave.then('the caller has "{text}"')
def step_has(context, text):
    assert context.has == text, context.has
    assert context.assembler.offset == len(text)


@behave.then("the answer is whole")
def step_whole(context):
    assert context.assembler.finished
    assert context.assembler.whole() == context.has


@behave.then("the answer is not whole")
def step_not_whole(context):
    assert not context.assembler.finished
    assert missing.is_missing(context.assembler.whole())


@behave.when('the machine "{name}" runs')
def step_machine(context, name):
    context.count_by_invariant = machinery.run(name)


@behave.then("both invariants were checked")
def step_invariants(context):
    assert len(context.count_by_invariant) == 2, context.count_by_invariant
