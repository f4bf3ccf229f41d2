"""Steps about the rest that upstreams ask for."""

import behave


@behave.when('it asks for a rest of "{value}" and a caller calls /any/thing')
def step_rest(context, value):
    text = "9" * 400 if value == "400 digits" else value
    context.rig.runners["plain-1"].retry_after = text
    context.got = context.rig.send("/any/thing")


@behave.when('it asks for a rest of "" and a caller calls /any/thing')
def step_rest_empty(context):
    step_rest(context, "")


@behave.then('the log has {count:d} lines "{event}", with "{shown}"')
def step_lines(context, count, event, shown):
    lines = [line for name, line in context.rig.log.lines if name == event]
    assert len(lines) == count, context.rig.log.lines
    assert all(shown in str(line) for line in lines), lines


@behave.then('the log has {count:d} lines "{event}", with ""')
def step_lines_empty(context, count, event):
    step_lines(context, count, event, "")
