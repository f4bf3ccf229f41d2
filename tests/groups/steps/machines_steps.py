"""Steps that run the state machines."""

import behave
import hypothesis
from hypothesis import stateful

from tests.groups import machines

_INVARIANTS = {
    "one group a VM",
    "no VM is taken from another group",
    "no group serves with a VM missing",
    "no VM serves in two groups",
    "a change closes no more groups than declared",
    "no half group is routed to for longer than detection takes",
}

#: Each walk ends with 150 s without failures, which take most of the time.
_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=20,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@behave.when("the state machine {name} is run")
def step_walk(context, name):
    context.machine = getattr(machines, name)
    stateful.run_state_machine_as_test(context.machine, settings=_SETTINGS)


@behave.then("each invariant of groups was checked")
def step_checked(context):
    count_by_name = context.machine.CHECKS.count_by_name
    unchecked = {name for name in _INVARIANTS if not count_by_name.get(name)}
    assert not unchecked, unchecked
