"""Steps about plain services with faults."""

import time

import behave
import urllib3

_TOLERANCE = 400


def _inject_fault(address, fault, calls):
    body = {"fault": fault, "calls": calls}
    urllib3.request("POST", f"http://{address}/faults", json=body)


@behave.given("the record service injects the fault {fault} {often}")
def step_fault(context, fault, often):
    _inject_fault(context.records, fault, 1 if often == "once" else -1)
    context.add_cleanup(_inject_fault, context.records, "", 0)


def _timed_call(context, timeout, *request):
    started = time.monotonic()
    context.response = context.made.caller().call(
        *request, headers={"X-Deadline-Ms": str(timeout)}
    )
    context.took = (time.monotonic() - started) * 1_000
    context.timeout = timeout


@behave.when("a caller looks up a record within {span:d} ms")
def step_look_up(context, span):
    _timed_call(context, span, "GET", "records/bags/1")


@behave.when("a caller orders a certificate within {span:d} ms, without a key")
def step_issue(context, span):
    count = urllib3.request("GET", f"http://{context.records}/asked").json()
    context.request_count = count
    _timed_call(context, span, "POST", "records/certificates", b"{}")


@behave.then("it gets the record in time")
def step_record(context):
    assert context.response.status == 200, context.response
    assert context.took < context.timeout, context.took


@behave.then("it gets a timeout error in time")
def step_timeout(context):
    assert context.response.status == 504, context.response
    assert context.response.problem["ran"] == "unknown", context.response
    assert context.took < context.timeout + _TOLERANCE, context.took


@behave.then("it gets an error in time that the outcome is unknown")
def step_unknown(context):
    assert context.response.status == 502, context.response
    assert context.response.problem["ran"] == "unknown", context.response
    assert context.took < context.timeout + _TOLERANCE, context.took


@behave.then("the service got one request")
def step_once(context):
    count = urllib3.request("GET", f"http://{context.records}/asked").json()
    assert count == context.request_count + 1, (count, context.request_count)
