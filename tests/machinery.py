"""Runs a state machine of an area as a step of its suite."""

import hypothesis
from hypothesis import stateful

from tests import soak

#: Enough to take every rule in every order of three, within seconds.
_EXAMPLES = 60
_STEPS = 40


def run(name: str) -> dict[str, int]:
    """Run a machine on a fixed seed.

    :param name: of one of an area's ``MACHINES``.
    :return: how often each promise was looked at.
    """
    (machine,) = soak.machines(name)
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=_EXAMPLES,
            stateful_step_count=_STEPS,
        ),
    )
    return machine.CHECKS.count_by_name
