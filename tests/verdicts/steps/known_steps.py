"""Steps about the list of known failures."""

import pathlib
import tempfile

import behave

from tests import knownred


def _line(number):
    return f"forward: a {number} | make test | cut | 18"


def _write(context, lines):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "KNOWN-RED.txt"
    if lines:
        context.path.write_text("\n".join([*lines, ""]))


@behave.given("a list of {count:d} proper lines")
def step_proper(context, count):
    _write(context, [_line(n) for n in range(1, count + 1)])


@behave.given("no list")
def step_none(context):
    _write(context, [])


@behave.given('a list with the line "{line}"')
def step_line(context, line):
    _write(context, [_line(1), line.replace(" /", " |")])


@behave.when("it is read")
def step_read(context):
    try:
        context.read = knownred.read(context.path)
    except knownred.KnownRedError as error:
        context.read = error


@behave.when("only the first one's scenario was run")
def step_run(context):
    entry_by_test = knownred.read(context.path)
    context.unknown = knownred.unknown(entry_by_test, {"forward: a 1"})


@behave.then("it has {count:d} entries")
def step_count(context, count):
    assert len(context.read) == count, context.read


@behave.then('it is refused, and told "{why}"')
def step_refused(context, why):
    assert isinstance(context.read, knownred.KnownRedError), context.read
    assert why in str(context.read), context.read


@behave.then("{count:d} entry is complained about")
def step_unknown(context, count):
    assert len(context.unknown) == count, context.unknown
