"""Steps about upstreams and daemons that are silent for a while."""

import concurrent.futures
import contextlib
import signal
import time

import behave
import urllib3

from standins import answer
from standins import deployment as deployments
from tests import drill

_MODEL = deployments.MODEL
_NAMES_BY_WHO = {
    "the engines": ("vm-1", "vm-2"),
    "the daemons": ("daemon-0",),
    "all of them": ("daemon-0", "vm-1", "vm-2"),
}

#: Part of the silence for which a call that met it takes at least.
_NOTICED = 0.8


@contextlib.contextmanager
def _silenced(context, names, duration):
    """Stop processes; let them go on after a time.

    :param duration: ms from the start to the end of the block.
    """
    process_by_name = context.made.fleet.process_by_name
    started = time.monotonic()
    for name in names:
        process_by_name[name].send(signal.SIGSTOP)
    try:
        yield
    finally:
        passed = time.monotonic() - started
        time.sleep(max(0, duration / 1_000 - passed))
        for name in names:
            process_by_name[name].send(signal.SIGCONT)


def _timed(call):
    started = time.monotonic()
    return call(), (time.monotonic() - started) * 1_000


def _runs(context):
    runs = {}
    for address in context.engines:
        runs |= urllib3.request("GET", f"http://{address}/runs").json()
    return runs


def _running(context):
    loads = [
        urllib3.request("GET", f"http://{address}/load").json()
        for address in context.engines
    ]
    return sum(load["running"] for load in loads)


@behave.when(
    "{count:d} callers ask for {tokens:d} tokens each and {who} stop for "
    "{silence:d} ms {when}"
)
def step_ask(context, count, tokens, who, silence, when):
    names = _NAMES_BY_WHO[who]
    run_count = len(_runs(context))

    def ask(number):
        prompt = f"bag {number} of {who}, {silence} ms {when}"
        caller = context.made.caller()
        response, took = _timed(
            lambda: caller.chat(_MODEL, prompt, tokens=tokens)
        )
        return response, answer.whole(_MODEL, prompt, tokens), took

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        if when == "in the middle":
            asked = [pool.submit(ask, number) for number in range(count)]
            drill.eventually(
                lambda: _running(context) == count, "all of them run"
            )
            with _silenced(context, names, silence):
                pass
        else:
            with _silenced(context, names, silence):
                asked = [pool.submit(ask, number) for number in range(count)]
        context.answers = [each.result() for each in asked]
    context.silence = silence
    context.run_count = len(_runs(context)) - run_count


@behave.then("each of them reads its whole answer, from one attempt")
def step_answered(context):
    for response, expected, took in context.answers:
        assert response.whole and response.text == expected, response
        assert took > _NOTICED * context.silence, (took, response)
    assert context.run_count == len(context.answers), context.run_count


@behave.when(
    "{count:d} callers call the record service with {method} while it stops "
    "for {silence:d} ms"
)
def step_call(context, count, method, silence):
    issued = urllib3.request("GET", f"http://{context.records}/runs").json()

    def call():
        path = "records/certificates/silent"
        return context.made.caller().call(method, path, b"{}")

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        with _silenced(context, ["records-1"], silence):
            asked = [pool.submit(_timed, call) for _ in range(count)]
        context.answers = [each.result() for each in asked]
    context.silence = silence
    runs = urllib3.request("GET", f"http://{context.records}/runs").json()
    context.issued_count = len(runs) - len(issued)
    context.ordered_count = count if method == "POST" else 0


@behave.then("each of them gets its answer, and each order ran once")
def step_called(context):
    for response, took in context.answers:
        assert response.status in (200, 201), response
        assert took > _NOTICED * context.silence, (took, response)
    assert context.issued_count == context.ordered_count, context.issued_count
