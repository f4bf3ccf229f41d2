"""Steps about a daemon that polls the table."""

import random

import behave

from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.table import delta
from citronvalve.table import follower
from citronvalve.table import layout
from citronvalve.table import poller
from citronvalve.table import reader
from citronvalve.table import rowedits
from citronvalve.table import watcher
from standins import faults
from standins import memorytable
from tests.table import helpers


@behave.given("a daemon that has read the table")
def step_daemon(context):
    checks = invariant.Invariants()
    context.clock = manualclock.ManualClock()
    context.watcher = watcher.Watcher(
        watcher.PollTiming(), random.Random(1), checks
    )
    context.follower = follower.Follower(checks)
    step_polls(context)
    assert context.follower.table.version == 1


def _apply(context, received):
    context.received = received
    if isinstance(received, delta.Delta):
        context.outcome = context.follower.apply_delta(received)


@behave.when("the daemon polls")
def step_polls(context):
    table_poller = poller.Poller(context.store, context.watcher, context.clock)
    _apply(context, table_poller.poll())


@behave.when('{key} {column} becomes "{value}"')
def step_becomes(context, key, column, value):
    helpers.set_column(context, "bob", key, column, value)


@behave.when("{key} and its limit are removed")
def step_removed(context, key):
    def wanted(stored):
        left = rowedits.remove_row(key)(stored)
        return {k: v for k, v in left.items() if "limits" not in k}

    helpers.apply(context, "bob", wanted)


@behave.when("the platform is down for {count:d} polls")
def step_down(context, count):
    context.store.faults.order(faults.Fault.DOWN)
    for _ in range(count):
        context.clock.advance(1_000)
        step_polls(context)


@behave.when("the platform is back")
def step_back(context):
    context.store.faults.order(faults.Fault.DOWN, 0)


@behave.when("a scan is sent and its response delayed at version 2")
def step_held(context):
    step_becomes(context, "datacentres/sapporo", "state", "out")
    context.held = context.store.scan(layout.TABLE, context.watcher.revision)


@behave.when("the delayed response arrives")
def step_delivered(context):
    _apply(context, context.watcher.apply_scan(context.held, 0))


@behave.when("the store is replaced by an older one")
def step_replaced(context):
    context.store = memorytable.MemoryTable()


@behave.when("the platform returns {part}")
def step_part(context, part):
    at = context.watcher.revision + 1
    changed_rows = [rows.Row(layout.TABLE, "teams/x", {"name": "x"}, at + 1)]
    if "newer" in part:
        changed_rows.append(
            rows.Row(layout.TABLE, layout.HEAD, {"version": 2}, at)
        )
    _apply(
        context,
        context.watcher.apply_scan(rows.Scan(at + 1, tuple(changed_rows)), 0),
    )


@behave.when("a peer sends a delta from {base:d} to {to:d}")
def step_peer(context, base, to):
    head = rows.Row(layout.TABLE, layout.HEAD, {"version": to}, to)
    context.outcome = context.follower.apply_delta(
        delta.Delta(base, to, (head,))
    )


@behave.when('a newer release sets {key} {column} to "{value}"')
def step_newer(context, key, column, value):
    stored = reader.read_state(context.store)
    head = {"version": stored.version + 1, "edit": "x", "who": "x", "at": 0}
    writes = (
        rows.Write(layout.TABLE, layout.HEAD, head),
        rows.Write(
            layout.TABLE, key, stored.value_by_key[key] | {column: value}
        ),
    )
    context.store.commit(rows.Transaction("newer", (), writes))


@behave.then("the daemon is at version {version:d}")
def step_at(context, version):
    assert context.follower.table.version == version


@behave.then("the poll returned {count:d} rows")
def step_gave(context, count):
    assert len(context.received.rows) == count, context.received


@behave.then("the daemon has no teams/{name}")
def step_no_team(context, name):
    assert name not in context.follower.table.team_by_name


@behave.then("its table is {age:d} ms old")
def step_age(context, age):
    assert context.watcher.age(context.clock.now()) == age


@behave.then("its poll delay is spread between {low:d} and {high:d} ms")
def step_waits(context, low, high):
    waits = {context.watcher.poll_delay() for _ in range(200)}
    assert low <= min(waits) and max(waits) <= high, waits
    assert max(waits) - min(waits) > (high - low) / 2


@behave.then('the poll is rejected with "{why}"')
def step_rejected(context, why):
    assert isinstance(context.received, missing.Stale), context.received
    assert why in context.received.reason


@behave.then("the delta is {outcome}")
def step_delta(context, outcome):
    kinds = {"a gap": missing.Stale, "ignored": type(None)}
    assert isinstance(context.outcome, kinds[outcome])


@behave.then("it reports a mistake in {key}")
def step_refuses(context, key):
    (wrong,) = context.follower.mistakes
    assert wrong.row == key, wrong
