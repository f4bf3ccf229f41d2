"""Steps about whole answers."""

import concurrent.futures
import time

import behave
import urllib3

from standins import answer
from standins import deployment as deployments

_SHARED_PROMPT = "Which code fits a leather case?"

#: Earlier scenarios break connections with the other prompt, and a request
#: that may have crashed engines is held back until their next reports.
_DEADLINE_PROMPT = "How old is bag 7?"
_MODEL = deployments.MODEL


def _inject_fault(address, fault, calls):
    body = {"fault": fault, "calls": calls}
    urllib3.request("POST", f"http://{address}/faults", json=body)


@behave.given("each engine injects the fault {fault} once")
def step_fault(context, fault):
    for address in context.engines:
        _inject_fault(address, fault, 1)
        context.add_cleanup(_inject_fault, address, "", 0)


@behave.given("every engine cuts every answer")
def step_cut(context):
    for address in context.engines:
        _inject_fault(address, "cut", -1)
        context.add_cleanup(_inject_fault, address, "", 0)


@behave.when("a caller asks for {count:d} tokens, {how}")
def step_ask(context, count, how):
    context.count = count
    context.response = context.made.caller().chat(
        _MODEL, _SHARED_PROMPT, tokens=count, stream=how == "streamed"
    )


@behave.then("it reads the whole answer, word for word")
def step_whole(context):
    expected = answer.whole(_MODEL, _SHARED_PROMPT, context.count)
    assert context.response.whole, context.response
    assert context.response.text == expected, context.response


@behave.then("it gets an error event, and the response does not end cleanly")
def step_error(context):
    response = context.response
    expected = answer.whole(_MODEL, _SHARED_PROMPT, context.count)
    assert not response.whole, response
    assert expected.startswith(response.text), response
    assert response.problem["ran"] == "yes", response
    assert not response.clean, response


@behave.when("{count:d} callers ask different questions at the same time")
def step_many(context, count):
    def ask(number):
        prompt = f"question {number}"
        response = context.made.caller().chat(_MODEL, prompt, tokens=30)
        return response, answer.whole(_MODEL, prompt, 30)

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.pairs = list(pool.map(ask, range(count)))


@behave.then("each reads the answer to its own question")
def step_own(context):
    for response, expected in context.pairs:
        assert response.whole and response.text == expected, response


@behave.when("a caller asks for {count:d} tokens within {span:d} ms")
def step_within(context, count, span):
    started = time.monotonic()
    context.response = context.made.caller().chat(
        _MODEL, _DEADLINE_PROMPT, tokens=count, deadline=span
    )
    context.took = (time.monotonic() - started) * 1_000


@behave.then("it gets an error at once that the deadline passed")
def step_late(context):
    problem_type = context.response.problem["type"]
    assert problem_type.endswith(":deadline-passed"), context.response
    assert context.took < 800, context.took
