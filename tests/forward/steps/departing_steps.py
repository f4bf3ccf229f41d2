"""Steps about upstreams that say in their answers that they leave."""

import behave


@behave.when('it says "{value}" of its leaving and a caller calls /any/thing')
def step_says(context, value):
    text = "9" * 400 if value == "400 digits" else value
    context.rig.runners["plain-1"].said = f"X-Leaving: {text}\r\n"
    context.got = context.rig.send("/any/thing")


@behave.when('it says "" of its leaving and a caller calls /any/thing')
def step_says_nothing(context):
    step_says(context, "")
