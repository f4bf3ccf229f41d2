"""Steps about resuming broken answers."""

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


@behave.when('"{upstream}" shows {kind:w} at {now:d}')
def step_shows(context, upstream, kind, now):
    cause = failure.Failure(failure.FailureKind(kind), "made by a test")
    context.decision = context.resumption.decide(cause, upstream, now)


@behave.when("streams break after {grown:d} characters each")
def step_break(context, grown):
    cause = failure.Failure(failure.FailureKind.BROKEN, "made by a test")
    context.asked = 0
    for number in range(100):
        upstream = f"u{number}"
        context.decision = context.resumption.decide(cause, upstream, 10)
        if not isinstance(context.decision, nextattempt.NextAttempt):
            return
        context.asked += 1
        offset = context.assembler.offset
        context.assembler.accept(piece.Piece("r1", offset, "x" * grown))


@behave.then("{asked:d} resumes were asked for")
def step_asked(context, asked):
    assert context.asked == asked, context.asked


@behave.then("the decision is to go on")
def step_go_on(context):
    assert context.decision is None


@behave.then("the decision is to ask from {offset:d}, avoid {name:w}")
def step_avoid(context, offset, name):
    assert context.decision == nextattempt.NextAttempt(offset, (), (name,)), (
        context.decision
    )


@behave.then("the decision is to ask from {offset:d}, never {name:w}")
def step_never(context, offset, name):
    assert context.decision == nextattempt.NextAttempt(offset, (name,)), (
        context.decision
    )


@behave.then("the decision is {kind:S}")
def step_refused(context, kind):
    assert context.decision.kind == kind, context.decision
    assert context.decision.ran != "no"
