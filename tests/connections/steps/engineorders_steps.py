"""Steps about orders to engines."""

import behave

from citronvalve.groups import httpengines
from citronvalve.groups import order
from citronvalve.groups import refused
from citronvalve.model import missing
from standins import scriptedrunner


@behave.given(
    "an engine that refuses its first order twice, and answers no other"
)
def step_answers_twice(context):
    script = ["refuses_an_order_twice", "silent"]
    context.engine = scriptedrunner.ScriptedRunner("a0", script)
    context.add_cleanup(context.engine.close)


@behave.when("it gets two orders, one after the other")
def step_orders(context):
    engines = httpengines.HttpEngines()
    context.answers = [
        engines.send_order(
            context.engine.address,
            order.Order(fence, f"a{fence}", order.OrderKind.CLOSE),
        )
        for fence in (3, 8)
    ]


@behave.then("the first is refused, and the answer to the second is lost")
def step_answers(context):
    first, second = context.answers
    assert first == refused.Refused(7), first
    assert isinstance(second, missing.AnswerLost), second
