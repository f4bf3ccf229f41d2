"""Steps about declarations and their validation."""

import enum

import behave
import json5

from citronvalve.storage import rows
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import kinds
from citronvalve.table import layout
from citronvalve.table import planning
from citronvalve.table import reader
from citronvalve.table import rowedits
from citronvalve.table import state
from standins import memorytable
from tests.table import helpers


@behave.given("the example declaration")
def step_example(context):
    context.values = dict(helpers.example().value_by_key)


@behave.given("the example declaration is in the table")
def step_applied(context):
    context.store = memorytable.MemoryTable()
    first = helpers.new_editor(context.store, "first")
    done = first.apply(
        planning.apply_declaration(helpers.example()),
        edit.Author("first", "start"),
    )
    assert done.version == 1, done


@behave.when("{row} gets {column} = {value}")
def step_gets(context, row, column, value):
    new = {column: json5.loads(value)}
    context.values[row] = context.values[row] | new


def _mistakes(context):
    planned = planning.plan(state.EMPTY, lambda stored: context.values)
    return planned.mistakes


@behave.then('the only mistake is at {row}, {column}: "{why}", "{remedy}"')
def step_only(context, row, column, why, remedy):
    (wrong,) = _mistakes(context)
    assert (wrong.row, wrong.column) == (row, column), wrong
    assert why in wrong.why, wrong
    assert remedy in wrong.remedy, wrong


@behave.then("there are {count:d} mistakes")
def step_count(context, count):
    assert len(_mistakes(context)) == count, _mistakes(context)


@behave.when("the file holds {text}")
def step_file(context, text):
    context.document = document.parse(text, "file")


@behave.then('a mistake says "{why}"')
def step_says(context, why):
    reasons = [wrong.why for wrong in context.document.mistakes]
    assert any(why in each for each in reasons), reasons


@behave.then("every column that holds a number has a bound")
def step_bounds(context):
    without = [
        (kind.section, column.name)
        for kind in kinds.KIND_BY_SECTION.values()
        for column in kind.column_by_name.values()
        if column.type in {int, float} and not column.bound
    ]
    assert not without, f"add to table/bounds.py: {without}"
    plain = [
        (kind.section, column.name)
        for kind in kinds.KIND_BY_SECTION.values()
        for column in kind.column_by_name.values()
        if not isinstance(column.type, (type, enum.EnumMeta))
        and column.type != tuple[str, ...]
    ]
    assert not plain, f"no check for the type of {plain}"


@behave.when("a newer release adds a column to {row} and a section of its own")
def step_newer(context, row):
    context.before = reader.read(context.store)
    value = reader.read_state(context.store).value_by_key[row]
    writes = (
        rows.Write(layout.TABLE, row, value | {"colour": "red"}),
        rows.Write(layout.TABLE, "fabrics/f1", {"name": "f1"}),
    )
    context.store.commit(rows.Transaction("newer", (), writes))


@behave.then("a daemon reads the table as before")
def step_reads(context):
    assert reader.read(context.store) == context.before


@behave.then('an edit of this release is refused with "{why}"')
def step_refused(context, why):
    operator = helpers.new_editor(context.store, "first")
    planned = operator.plan(rowedits.set_columns("teams/kaban", {"weight": 3}))
    assert why in {wrong.why for wrong in planned.mistakes}, planned
