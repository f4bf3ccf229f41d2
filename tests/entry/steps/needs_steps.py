"""Steps about what upstreams ask for in their answers."""

import time

import behave
import urllib3

_PATH = "records/bags/1"

#: Seconds in which a request that can't be served is refused.
_AT_ONCE = 0.3


def _says(context, headers):
    address = f"http://{context.records}/says"
    urllib3.request("POST", address, json=headers)


def _fault(context, fault, calls):
    address = f"http://{context.records}/faults"
    body = {"fault": fault, "calls": calls}
    urllib3.request("POST", address, json=body)


def _looked_up(context):
    address = f"http://{context.records}/looked-up"
    return urllib3.request("GET", address).json()


def _look_up(context):
    began = time.monotonic()
    response = context.made.caller().call(
        "GET", _PATH, headers={"X-Deadline-Ms": "2000"}
    )
    return response, time.monotonic() - began


@behave.given('the record service names a rate of "{rate}"')
def step_rate(context, rate):
    context.add_cleanup(_says, context, {})
    _says(context, {"X-Limit": rate})


@behave.given(
    'the record service turns look-ups away and asks for a rest of "{rest}"'
)
def step_rest(context, rest):
    context.add_cleanup(_says, context, {})
    _says(context, {"Retry-After": rest})
    _fault(context, "rest", -1)
    context.add_cleanup(_fault, context, "", 0)


@behave.given('the record service says "{value}" of its leaving')
def step_leaving(context, value):
    context.add_cleanup(_says, context, {})
    _says(context, {"X-Leaving": value})


@behave.when("callers look records up for {seconds:d} s, {rate:d} a second")
def step_look_up(context, seconds, rate):
    # The first one learns the rate.
    _look_up(context)
    before = _looked_up(context)
    context.answers = []
    began = time.monotonic()
    for turn in range(seconds * rate):
        time.sleep(max(0.0, began + turn / rate - time.monotonic()))
        context.answers.append(_look_up(context))
    context.count = _looked_up(context) - before


@behave.then(
    "the service gets at least {least:d} and at most {most:d} of them"
)
def step_count(context, least, most):
    assert least <= context.count <= most, context.count


@behave.then("the others are refused at once with 503 and a time")
def step_refused(context):
    refused = [one for one in context.answers if one[0].status != 200]
    assert len(refused) == len(context.answers) - context.count, context.count
    _check_refused(refused, {503})


@behave.then("all are refused with {statuses} and a time")
def step_all_refused(context, statuses):
    allowed = {int(status) for status in statuses.split(" or ")}
    # An upstream that names no time is tried again before the refusal.
    longest = _AT_ONCE if allowed == {503} else float("inf")
    _check_refused(context.answers, allowed, longest)


def _check_refused(refused, statuses, longest=_AT_ONCE):
    for response, took in refused:
        assert response.status in statuses, response
        assert took < longest, (took, response)
        assert response.problem["retry_after_ms"] > 0, response


@behave.when("the service names no rate any more")
def step_over(context):
    _says(context, {})


@behave.when("the service turns nothing away any more")
def step_rested(context):
    _fault(context, "", 0)
    _says(context, {})


@behave.then("within {seconds:d} s all look-ups are served again")
def step_back(context, seconds):
    end = time.monotonic() + seconds
    served = 0
    while served < 20:
        assert time.monotonic() < end, served
        response, _ = _look_up(context)
        served = served + 1 if response.status == 200 else 0
        time.sleep(0.05)
