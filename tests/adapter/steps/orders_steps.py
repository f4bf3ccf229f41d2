"""Steps about orders to runners."""

import behave

from citronvalve.model import clock
from citronvalve.replicas import membership
from citronvalve.replicas import order
from citronvalve.replicas import runner
from standins import scriptedrunner


@behave.given("a runner that answers its first order twice, and no other")
def step_answers_twice(context):
    script = ["accepts_an_order_twice", "silent"]
    context.runner = scriptedrunner.ScriptedRunner("i-1", script)
    context.add_cleanup(context.runner.close)


@behave.when("it gets two orders, one after the other")
def step_orders(context):
    from adapter import runnerorders

    client = runnerorders.RunnerOrders(clock.SystemClock())
    target = runner.Runner("i-1", "engine", context.runner.address, "zone-0")
    key = membership.GroupKey("g", 1)
    kinds = (order.OrderKind.CLOSE, order.OrderKind.LEAVE)
    context.results = [
        client.send(target, order.Order(kind, "i-1", key)) for kind in kinds
    ]


@behave.then("the first is accepted, and the second has no answer")
def step_results(context):
    results = order.OrderResult
    assert context.results == [results.ACCEPTED, results.SILENT], (
        context.results
    )
