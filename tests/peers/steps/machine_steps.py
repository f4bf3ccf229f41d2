"""Steps that run the state machines of peers."""

import behave
import hypothesis
from hypothesis import stateful

from tests.peers import machines

_STEPS_A_RUN = 20


@behave.when("the state machine {name} takes {steps:d} steps")
def step_run(context, name, steps):
    machine_by_name = {
        machine.__name__: machine for machine in machines.MACHINES
    }
    context.machine = machine_by_name[name]
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        stateful_step_count=_STEPS_A_RUN,
        max_examples=steps // _STEPS_A_RUN,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(context.machine, settings=settings)


@behave.then("each of its invariants was checked")
def step_checked(context):
    assert all(context.machine.CHECKS.count_by_name.values())
    assert context.machine.CHECKS.count_by_name
