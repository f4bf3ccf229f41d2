"""Run every state machine on any seed, for any number of steps.

An area lists its machines in ``tests/AREA/machines.py``::

    class Spreading(stateful.RuleBasedStateMachine):
        CHECKS = invariant.Invariants()
        ...

    MACHINES = (Spreading,)

``CHECKS`` is one :class:`invariant.Invariants`, or a tuple of them, that the
machine hands to the program under test in every run; its counts are printed
at the end.  A machine whose program never looked at a promise fails the soak:
such a run proves nothing.
"""

import argparse
import importlib
import pathlib
import sys
import time
import traceback

import hypothesis
from hypothesis import stateful

_TESTS = pathlib.Path(__file__).parent

#: Hypothesis bounds what one run may draw, so that long walks are split
#: into many runs of this many steps, each from a fresh start.
_STEPS_A_RUN = 50


def machines(only: str = "") -> list[type[stateful.RuleBasedStateMachine]]:
    """Find the machines of every area.

    :param only: name of one area or machine; empty takes all.
    """
    found = []
    for path in sorted(_TESTS.glob("*/machines.py")):
        area = path.parent.name
        module = importlib.import_module(f"tests.{area}.machines")
        for machine in module.MACHINES:
            if only in ("", area, machine.__name__):
                found.append(machine)
    return found


def settings(steps: int) -> hypothesis.settings:
    """Give the settings of a soak: seeded, nothing stored, no deadline.

    :param steps: steps to take in all.
    """
    return hypothesis.settings(
        database=None,
        deadline=None,
        print_blob=False,
        stateful_step_count=min(steps, _STEPS_A_RUN),
        max_examples=-(-steps // _STEPS_A_RUN),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def _checks(machine) -> tuple:
    checks = machine.CHECKS
    return checks if isinstance(checks, tuple) else (checks,)


def _run(machine, seed: int, steps: int) -> bool:
    hypothesis.seed(seed)(machine)
    began = time.monotonic()
    try:
        stateful.run_state_machine_as_test(machine, settings=settings(steps))
    except Exception:  # noqa: H201 - any failure is a finding
        traceback.print_exc()
        return False
    took = time.monotonic() - began
    print(f"{machine.__name__}: {steps} steps, seed {seed}, {took:.1f} s")
    looked = 0
    for checks in _checks(machine):
        for name, count in sorted(checks.count_by_name.items()):
            print(f"  {count:>9}  {name}")
            looked += count
    if not looked:
        print(f"  {machine.__name__} looked at no invariant")
    return looked > 0


def main(arguments: list[str] | None = None) -> int:
    """Run the machines; return 0 when no invariant was broken.

    :param arguments: command line; ``None`` takes the process's own.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=200)
    parser.add_argument("--only", default="", help="one area or machine")
    asked = parser.parse_args(arguments)
    found = machines(asked.only)
    failed = [m for m in found if not _run(m, asked.seed, asked.steps)]
    for machine in failed:
        print(
            f"VIOLATED in {machine.__name__}; repeat with: python -m"
            f" tests.soak --seed {asked.seed} --steps {asked.steps}"
            f" --only {machine.__name__}"
        )
    if not found:
        print("no state machine found; see --only and tests/*/machines.py")
    print(f"{len(found) - len(failed)} held, {len(failed)} violated")
    return 1 if failed or not found else 0


if __name__ == "__main__":
    sys.exit(main())
