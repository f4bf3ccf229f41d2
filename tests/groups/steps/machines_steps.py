"""Steps that run the state machines."""

import behave
import hypothesis
from hypothesis import stateful

from tests.groups import machines

_PROMISES = {
    "one group a VM",
    "no VM is taken from another group",
    "no group serves with a VM missing",
    "no VM serves in two groups",
    "a change closes no more groups than declared",
    "no half group is routed to for longer than detection takes",
}

#: Each walk ends with two minutes of calm, which takes most of the time.
_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=20,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@behave.when("the machine {name} takes its walks")
def step_walk(context, name):
    context.machine = getattr(machines, name)
    stateful.run_state_machine_as_test(context.machine, settings=_SETTINGS)


@behave.then("each promise of groups was looked at")
def step_looked(context):
    looked = context.machine.CHECKS.count_by_name
    unseen = {name for name in _PROMISES if not looked.get(name)}
    assert not unseen, unseen
