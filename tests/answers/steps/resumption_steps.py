"""Steps about the resumption of broken streams."""

import behave

from citronvalve.upstreams import assembler
from citronvalve.upstreams import failure
from citronvalve.upstreams import nextattempt
from citronvalve.upstreams import piece
from citronvalve.upstreams import resumption


@behave.given(
    'an answer of request "{request}" with {size:d} characters relayed'
)
def step_long(context, request, size):
    context.assembler = assembler.Assembler(request)
    context.assembler.accept(piece.Piece(request, 0, "x" * size))


@behave.given("its deadline is {deadline:d}")
def step_deadline(context, deadline):
    context.resumption = resumption.Resumption(context.assembler, deadline)


@behave.when('the stream from "{upstream}" fails with {kind:w} at {now:d}')
def step_fails(context, upstream, kind, now):
    cause = failure.Failure(failure.FailureKind(kind), "made by a test")
    context.decision = context.resumption.decide(cause, upstream, now)


@behave.when("streams break after {size:d} characters each")
def step_break(context, size):
    cause = failure.Failure(failure.FailureKind.BROKEN, "made by a test")
    context.resumes = 0
    for number in range(100):
        upstream = f"u{number}"
        context.decision = context.resumption.decide(cause, upstream, 10)
        if not isinstance(context.decision, nextattempt.NextAttempt):
            return
        context.resumes += 1
        offset = context.assembler.offset
        context.assembler.accept(piece.Piece("r1", offset, "x" * size))


@behave.then("{count:d} resumes were started")
def step_count(context, count):
    assert context.resumes == count, context.resumes


@behave.then("the decision is to continue reading")
def step_continue(context):
    assert context.decision is None


@behave.then("the decision is to resume from {offset:d}, avoiding {name:w}")
def step_avoided(context, offset, name):
    assert context.decision == nextattempt.NextAttempt(offset, (), (name,)), (
        context.decision
    )


@behave.then("the decision is to resume from {offset:d}, without {name:w}")
def step_excluded(context, offset, name):
    assert context.decision == nextattempt.NextAttempt(offset, (name,)), (
        context.decision
    )


@behave.then("the decision is {kind:S}")
def step_refused(context, kind):
    assert context.decision.kind == kind, context.decision
    assert context.decision.ran != "no"
