"""Steps about upstreams that send bytes without end."""

import time

import behave
import eventlet

from citronvalve.forward import bodybuffer
from citronvalve.forward import eventsplitter
from citronvalve.forward import exchangeerror


@behave.then("that took at most {seconds:g} s")
def step_took(context, seconds):
    took = [
        inputs["took_ms"]
        for event, inputs in context.rig.log.lines
        if event == "request ended"
    ]
    assert took and max(took) <= seconds * 1_000, took


@behave.when(
    "a caller calls {path} while {count:d} others call at the second runner"
)
def step_others(context, path, count):
    rig = context.rig
    eventlet.spawn(rig.send, path)
    eventlet.sleep(0.1)
    # The first one has been read by now, and others go to the second.
    rig.directory.remove("plain-1")
    context.waits = []
    for _ in range(count):
        began = time.monotonic()
        got = rig.send(path)
        assert got.startswith(b"HTTP/1.1 200"), got
        context.waits.append(time.monotonic() - began)


@behave.then("the others are answered within {seconds:g} s each")
def step_waits(context, seconds):
    assert max(context.waits) <= seconds, context.waits


@behave.when(
    "a stream of {pieces:d} pieces of {size:d} bytes without a blank line is "
    "split"
)
def step_split(context, pieces, size):
    splitter = eventsplitter.EventSplitter()
    context.fed = 0
    began = time.process_time()
    try:
        for _ in range(pieces):
            context.fed += size
            splitter.feed(b"x" * size)
    except exchangeerror.ExchangeError as error:
        context.error = error
    context.took = time.process_time() - began


@behave.then("it is refused after at most {most:d} bytes")
def step_refused_after(context, most):
    assert context.error.failure is exchangeerror.ExchangeFailure.GARBLED
    assert context.fed <= most, context.fed


@behave.then("that took at most {seconds:g} s of processor time")
def step_processor(context, seconds):
    assert context.took <= seconds, context.took


@behave.given("space for {count:d} bytes of bodies")
def step_space(context, count):
    context.space = bodybuffer.BodySpace(count)


@behave.when(
    "{count:d} bodies of {size:d} bytes are buffered at the same time"
)
def step_buffer(context, count, size):
    context.bodies = [
        bodybuffer.BodyBuffer(context.space, bodybuffer.MAX_ANSWER)
        for _ in range(count)
    ]
    context.piece = b"x" * size
    context.refused = [
        not _fits(body, context.piece) for body in context.bodies
    ]


def _fits(body, data):
    try:
        body.add(data)
    except exchangeerror.ExchangeError:
        return False
    return True


@behave.then("the third one is refused")
def step_third(context):
    assert context.refused == [False, False, True], context.refused


@behave.then("it is buffered once the first one has ended")
def step_buffered(context):
    first, _, third = context.bodies
    first.release()
    assert _fits(third, context.piece)
    assert third.content() == context.piece
