"""Runs of the operators' tool in the test's own process."""

import contextlib
import io
from typing import NamedTuple

from citronvalve.cli import main


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    returncode: int
    stdout: str
    stderr: str


def run(*words: str) -> CommandResult:
    """Run a command.

    :param words: arguments of the tool.
    """
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            main.main(list(words))
        except SystemExit as end:
            code = end.code
    return CommandResult(code, out.getvalue(), err.getvalue())


def assert_result(result: CommandResult, code: int, says: str) -> None:
    """Assert the exit code and a part of the output.

    :param result: of a command.
    :param code: the expected code.
    :param says: the expected part.
    """
    output = result.stdout + result.stderr
    assert result.returncode == code, (result.returncode, output)
    assert says in output, output


def assert_only_finding(result: CommandResult, place: str, says: str) -> None:
    """Assert that a check has exactly one finding.

    :param result: of the check.
    :param place: the place of the finding.
    :param says: a part of its text.
    """
    assert result.returncode == 1, result
    first, line, *_ = result.stdout.splitlines()
    assert first.endswith(": 1 finding"), result.stdout
    assert line.startswith(f"{place}: "), result.stdout
    assert says in line, result.stdout
