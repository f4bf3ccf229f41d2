"""Steps about operators' edits."""

import behave
import json5

from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.table import audit
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import layout
from citronvalve.table import planning
from citronvalve.table import reader
from citronvalve.table import rowedits
from standins import faults
from standins import hostiletable
from tests import machinery
from tests.table import helpers


def _version(context):
    return reader.read_state(context.store).version


@behave.when("{who} applies the example declaration")
def step_applies(context, who):
    helpers.apply(context, who, planning.apply_declaration(helpers.example()))


@behave.when(
    "{who} applies the example declaration planned on version {version:d}"
)
def step_planned(context, who, version):
    wanted = planning.apply_declaration(helpers.example())
    helpers.apply(context, who, wanted, expected=version)


@behave.when('{who} sets {key} {column} to {value} because "{why}"')
def step_sets(context, who, key, column, value, why):
    helpers.set_column(context, who, key, column, json5.loads(value), why)


@behave.given('{who} commits before ann with {key} {column} "{value}"')
def step_between(context, who, key, column, value):
    wanted = rowedits.set_columns(key, {column: value})
    rival = helpers.new_editor(context.store, who)
    helpers.connection(context).before_commit = lambda: rival.apply(
        wanted, edit.Author(who, "in between")
    )


@behave.given("reads fail from the commit of ann on")
def step_reads_down(context):
    link = helpers.connection(context)
    rival = link.before_commit

    def both():
        rival()
        link.readable = False

    link.before_commit = both


@behave.given("the store applies {fates} to the commits of ann")
def step_fates(context, fates):
    helpers.connection(context).fates.extend(
        map(hostiletable.Fate, fates.split(", "))
    )


@behave.given("the store is down from call {call:d} on")
def step_down(context, call):
    if call == 1:
        context.store.faults.order(faults.Fault.DOWN)
    else:
        helpers.connection(context).before_commit = lambda: (
            context.store.faults.order(faults.Fault.DOWN)
        )


@behave.when("ann reverts to version {version:d}")
def step_reverts(context, version):
    operator = helpers.new_editor(helpers.connection(context), "revert")
    context.done = operator.revert(version, edit.Author("ann", "back"))


@behave.when("somebody writes {key} without an audit entry")
def step_unaudited_write(context, key):
    value = reader.read_state(context.store).value_by_key[key]
    write = rows.Write(layout.TABLE, key, value | {"weight": 9.0})
    context.store.commit(rows.Transaction("around", (), (write,)))


@behave.when("ann applies only the teams of the example without {which}")
def step_teams(context, which):
    example = helpers.example()
    teams = {
        key: value
        for key, value in example.value_by_key.items()
        if key == "teams/kaban"
    }
    only = document.Document(frozenset({"teams", "limits"}), teams, ())
    helpers.apply(context, "ann", planning.apply_declaration(only))


@behave.when("ann applies {count:d} teams")
def step_many(context, count):
    values = {
        f"teams/t{i}": {"name": f"t{i}", "token_sha256": f"{i:064x}"}
        for i in range(count)
    }
    context.keys = set(values)
    many = document.Document(frozenset({"teams", "limits"}), values, ())
    helpers.apply(
        context, "ann", planning.apply_declaration(many, allow_removals=True)
    )


@behave.when("ann applies {count:d} of {total:d} teams {option}")
def step_some(context, count, total, option):
    for most in (total, count):
        values = {
            f"teams/t{i}": {"name": f"t{i}", "token_sha256": f"{i:064x}"}
            for i in range(most)
        }
        some = document.Document(frozenset({"teams"}), values, ())
        # The example's limit refers to its team and is removed with it.
        some = some._replace(sections=some.sections | {"limits"})
        allowed = most == total or option == "and allows removals"
        helpers.apply(
            context, "ann", planning.apply_declaration(some, allowed)
        )


@behave.then("the edit is {outcome}")
def step_outcome(context, outcome):
    assert type(context.done).__name__ == outcome, context.done


@behave.then("the table is at version {version:d}")
def step_version(context, version):
    context.store.faults.order(faults.Fault.DOWN, 0)
    assert _version(context) == version, _version(context)


@behave.then("after delayed writes the table is at version {v:d}")
def step_landed(context, v):
    context.connection.land()
    assert _version(context) == v, _version(context)


@behave.then("each version has one audit entry")
def step_entries(context):
    entries = audit.read_range(context.store, 0, _version(context))
    assert not missing.is_missing(entries), entries
    after = audit.read(context.store, len(entries) + 1)
    assert isinstance(after, missing.NotFound), after


@behave.then('the entry of version {version:d} is by {who} because "{why}"')
def step_entry(context, version, who, why):
    context.entry = audit.read(context.store, version)
    assert (context.entry.who, context.entry.why) == (who, why)


@behave.then('it shows {key} {column} from "{before}" to "{after}"')
def step_shows(context, key, column, before, after):
    (change,) = context.entry.changes
    assert change.key == key
    assert change.before[column] == before
    assert change.after[column] == after


@behave.then('the winner is {who} with {key} {column} from "{a}" to "{b}"')
def step_winner(context, who, key, column, a, b):
    (context.entry,) = context.done.winners
    assert context.entry.who == who
    step_shows(context, key, column, a, b)


@behave.then("the conflict says why the other edits could not be read")
def step_unread(context):
    assert not context.done.winners
    assert context.done.unread_reason == "no reads"


@behave.then("the table has the rows of version 1")
def step_as_before(context):
    first = audit.read(context.store, 1)
    values = {change.key: change.after for change in first.changes}
    assert reader.read_state(context.store).value_by_key == values


@behave.then("{key} is still there")
def step_there(context, key):
    assert key in reader.read_state(context.store).value_by_key


@behave.then("the entry of version 2 holds every changed row")
def step_whole(context):
    entry = audit.read(context.store, 2)
    assert context.keys <= {change.key for change in entry.changes}
    first = context.store.read(layout.AUDIT, layout.audit_key(2))
    assert first.value["parts"] > 1


@behave.when("the machine {name} has run")
def step_machine(context, name):
    context.count_by_name = machinery.run(name)


@behave.then("each of its invariants was checked")
def step_checked(context):
    assert all(context.count_by_name.values())
    assert len(context.count_by_name) == 2
