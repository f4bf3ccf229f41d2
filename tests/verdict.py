"""Run the suite of each area and give one verdict.

A scenario named in KNOWN-RED.txt may fail; it is printed and passed over.
An entry that names no scenario, or can't be read, fails the run.
"""

import concurrent.futures
import json
import pathlib
import subprocess  # noqa: S404 - the test runner, not the system
import sys
import tempfile
from typing import NamedTuple

from tests import knownred

_TESTS = pathlib.Path(__file__).parent
_KNOWN_RED = _TESTS.parent / "KNOWN-RED.txt"

#: Suites that run side by side; more would make timings of the drills
#: depend on each other.
_AT_ONCE = 4

#: Areas whose suites run one after the other, once the others have ended:
#: they measure what a process holds.
_ALONE = ("crowds",)

#: Scenarios that are started by hand only.
_BY_HAND = "byhand"

_BAD = {"failed", "error", "undefined", "hook_error", "cleanup_error"}


class Outcome(NamedTuple):
    """How one scenario ended."""

    name: str
    passed: bool
    detail: str


class Suite(NamedTuple):
    """What one area's run gave."""

    area: str
    outcomes: tuple[Outcome, ...]
    output: str
    exit_code: int


def _areas() -> list[pathlib.Path]:
    return sorted(p.parent for p in _TESTS.glob("*/steps"))


def _outcome(area: str, element: dict) -> Outcome:
    passed = element["status"] == "passed"
    messages = [
        f"{step['keyword']} {step['name']}\n{_message(step['result'])}"
        for step in element["steps"]
        if step.get("result", {}).get("status") in _BAD
    ]
    name = f"{area}: {element['name']}".strip()
    return Outcome(name, passed, "\n".join(messages))


def _message(result: dict) -> str:
    message = result.get("error_message", "")
    return message if isinstance(message, str) else "\n".join(message)


def run_suite(area: pathlib.Path) -> Suite:
    """Run the suite of one area.

    :param area: the folder with its features and steps.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        done = subprocess.run(
            [
                *(sys.executable, "-m", "behave", str(area)),
                *("--format", "tests.report:Report"),
                *("--outfile", str(report)),
                *("--no-summary", "--show-timings", "--no-skipped"),
                f"--tags=not @{_BY_HAND}",
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        text = report.read_text() if report.exists() else ""
        features = json.loads(text) if text.strip() else []
    outcomes = tuple(
        _outcome(area.name, element)
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] == "scenario" and element["status"] != "skipped"
    )
    return Suite(area.name, outcomes, done.stdout, done.returncode)


def _crashed(suite: Suite) -> bool:
    # A suite that stops before it runs anything reports no scenario, and
    # would otherwise count as nothing failed.
    clean = all(outcome.passed for outcome in suite.outcomes)
    return not suite.outcomes or (suite.exit_code != 0 and clean)


def main() -> int:
    """Run every area; return 0 when nothing failed but the known."""
    try:
        known = knownred.read(_KNOWN_RED)
    except knownred.KnownRedError as error:
        sys.exit(str(error))
    beside = [area for area in _areas() if area.name not in _ALONE]
    alone = [area for area in _areas() if area.name in _ALONE]
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        suites = list(pool.map(run_suite, beside))
    suites += [run_suite(area) for area in alone]
    failed = sum(_report(suite, known) for suite in suites)
    run = {o.name for suite in suites for o in suite.outcomes}
    for complaint in knownred.unknown(known, run):
        failed += 1
        print(f"FAILED {complaint}")
    passed = {o.name for s in suites for o in s.outcomes if o.passed}
    for entry in known.values():
        now = " (passed this time)" if entry.test in passed else ""
        print(f"KNOWN-RED.txt: {' | '.join(entry)}{now}")
    count = sum(o.passed for suite in suites for o in suite.outcomes)
    print(f"{count} passed, {failed} failed")
    return 1 if failed else 0


def _report(suite: Suite, known: dict[str, knownred.Entry]) -> int:
    """Print how a suite went; return how much of it failed."""
    good = sum(outcome.passed for outcome in suite.outcomes)
    print(f"{suite.area}: {good} of {len(suite.outcomes)} passed")
    failed = 0
    if _crashed(suite):
        failed += 1
        print(f"FAILED {suite.area}: the suite did not run\n")
        print(suite.output)
    for outcome in suite.outcomes:
        if outcome.passed:
            continue
        if outcome.name in known:
            print(f"KNOWN RED {outcome.name}")
            continue
        failed += 1
        print(f"FAILED {outcome.name}\n{outcome.detail}")
    return failed


if __name__ == "__main__":
    sys.exit(main())
