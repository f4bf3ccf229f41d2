"""Steps about a daemon that compares its table with the platform's."""

import random

import behave
import logbook
import msgspec

from citronvalve.daemon import peertask
from citronvalve.daemon import settings
from citronvalve.daemon import tabletask
from citronvalve.entry import environment
from citronvalve.entry import metrics
from citronvalve.entry import view
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.peers import change
from citronvalve.peers import codec
from citronvalve.peers import envelope
from citronvalve.peers import gossip
from citronvalve.peers import tablecopy
from citronvalve.peers import tabledelta
from citronvalve.table import delta
from citronvalve.table import follower
from citronvalve.table import layout
from citronvalve.table import planning
from citronvalve.table import rowedits
from standins import faults
from standins import memorytable
from tests.table import helpers

_SETTINGS = settings.Settings(
    "d-1",
    "sapporo",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "127.0.0.1:3",
    "127.0.0.1:4",
    daemons_here=1,
)

_PEER = envelope.Sender("d-2", "hakodate", 1, "tcp://127.0.0.1:5")

#: Interval of the daemon's tasks.
_STEP_INTERVAL: clock.Ms = 250

_ROW_KEY = f"{layout.key('datacentres', 'hakodate')}"


class _CountingStore(memorytable.MemoryTable):
    """Counts full reads."""

    full_reads = 0

    def scan(self, table, after=0):
        self.full_reads += not after
        return super().scan(table, after)


class _Daemon:
    """The tasks that bring tables into force, stepped by the test."""

    def __init__(self, store, is_watcher):
        self.store = store
        self.clock = manualclock.ManualClock(1_000_000)
        self.view = view.View(self.clock, invariant.Invariants())
        self.log = logbook.TestHandler()
        env = environment.Environment(
            "d-1",
            "sapporo",
            self.clock,
            random.Random(1),
            logbook.Logger("d-1"),
            metrics.Metrics(),
            invariant.Invariants(),
            environment.RequestLimits(),
        )
        self.peering = peertask.PeerTask(env, self.view, _SETTINGS)
        self.peering.peer.is_watcher = lambda: is_watcher
        self._task = tabletask.TableTask(env, self.view, store, self.peering)
        self.repeated_gossip: gossip.Gossip | None = None

    def run(self, span):
        """Run the tasks while the clock advances.

        :param span: duration in ms.
        """
        with self.log.applicationbound():
            for _ in range(0, span, _STEP_INTERVAL):
                self.clock.advance(_STEP_INTERVAL)
                if self.repeated_gossip is not None:
                    self.receive(self.repeated_gossip)
                self._task.step()

    def receive(self, message):
        """Handle a message of a peer."""
        self.peering.peer.core.handle(codec.ReceivedMessage(_PEER, message))


@behave.given("the example declaration is in the platform's table")
def step_example(context):
    context.store = _CountingStore()
    helpers.apply(
        context, "bob", planning.apply_declaration(helpers.example())
    )


def _stored(store):
    # Bypasses the counter: this is not a read by the daemon.
    return memorytable.MemoryTable.scan(store, layout.TABLE).rows


def _packed(stored):
    return [
        change.Change(
            row.table, row.key, row.version, msgspec.msgpack.encode(row.value)
        )
        for row in stored
    ]


def _set_out_of_service(held):
    at = next(i for i, row in enumerate(held) if row.key == _ROW_KEY)
    value = msgspec.msgpack.decode(held[at].value) | {"state": "out"}
    held[at] = held[at]._replace(value=msgspec.msgpack.encode(value))


def _add_row(held):
    value = msgspec.msgpack.encode({"name": "nowhere"})
    key = layout.key("datacentres", "nowhere")
    held.append(change.Change(layout.TABLE, key, 1, value))


def _remove_row(held):
    held[:] = [row for row in held if row.key != _ROW_KEY]


_CORRUPTION_BY_NAME = {
    "": lambda held: None,
    "a data centre that is out by its copy": _set_out_of_service,
    "a row that the platform does not have": _add_row,
    "a row missing": _remove_row,
}


def _start_daemon(context, corruption, is_watcher):
    held = _packed(_stored(context.store))
    version = max(row.version for row in held)
    _CORRUPTION_BY_NAME[corruption](held)
    context.daemon = _Daemon(context.store, is_watcher)
    context.daemon.peering.peer.publish_table(
        tabledelta.TableDelta(version, 0, tuple(held))
    )
    assert context.daemon.view.table
    context.store.full_reads = 0
    assert _matches_platform(context) == (not corruption)


@behave.given("a watcher that received the table from a peer, with {what}")
def step_watcher(context, what):
    _start_daemon(context, what, is_watcher=True)


@behave.given("a watcher that received the table from a peer")
def step_right_watcher(context):
    _start_daemon(context, "", is_watcher=True)


@behave.given("a daemon that received the table from a peer, with {what}")
def step_daemon_with(context, what):
    _start_daemon(context, what, is_watcher=False)


@behave.given("a daemon that received the table from a peer")
def step_daemon(context):
    _start_daemon(context, "", is_watcher=False)


def _matches_platform(context):
    checks = follower.Follower(invariant.Invariants())
    stored = _stored(context.store)
    version = max(row.version for row in stored)
    checks.apply_delta(delta.Delta(0, version, stored))
    return context.daemon.view.table == checks.table


def _make_gossip(context, select):
    held = select(_packed(_stored(context.store)))
    version = max(row.version for row in held)
    copy = tablecopy.TableCopy(invariant.Invariants())
    copy.apply(tabledelta.TableDelta(version, 0, tuple(held)))
    return gossip.Gossip(0, copy.version, copy.digest, table_age=100)


@behave.when("a peer with the platform's table sends gossip")
def step_hears(context):
    context.daemon.repeated_gossip = _make_gossip(context, list)


@behave.when("the platform does not respond for {seconds:d} s")
def step_down(context, seconds):
    context.store.faults.order(faults.Fault.DOWN)
    context.daemon.run(seconds * clock.SECOND)
    context.store.faults.order(faults.Fault.DOWN, 0)


@behave.when("a peer with another table sends gossip for {seconds:d} s")
def step_hears_another(context, seconds):
    context.daemon.repeated_gossip = _make_gossip(
        context, lambda held: held[1:]
    )
    context.daemon.run(seconds * clock.SECOND)


@behave.when("sapporo is taken out, and the daemon reads the edit")
def step_out(context):
    context.before = _stored(context.store)
    key = layout.key("datacentres", "sapporo")
    helpers.set_column(context, "bob", key, "state", "out")
    context.daemon.run(9 * clock.SECOND)
    assert context.daemon.view.version == 2


@behave.when("a team is removed, and the daemon reads the edit")
def step_removed(context):
    def wanted(stored):
        left = rowedits.remove_row("teams/ledger")(stored)
        return {k: v for k, v in left.items() if "limits" not in k}

    helpers.apply(context, "bob", wanted)
    context.daemon.run(9 * clock.SECOND)
    assert context.daemon.view.version == 2


@behave.then(
    "it has compared its table within {seconds:d} s and found no difference"
)
def step_no_difference(context, seconds):
    context.daemon.run(seconds * clock.SECOND)
    assert context.store.full_reads, "it made no full read"
    assert _matches_platform(context)
    assert not _warned(context), context.daemon.log.formatted_records


def _warned(context):
    return context.daemon.log.has_warning("table differed from the platform's")


@behave.when("it reconciles its table with the platform's earlier one")
def step_before(context):
    held = _packed(context.before)
    version = max(row.version for row in held)
    context.daemon.peering.peer.reconcile_table(
        tabledelta.TableDelta(version, 0, tuple(held))
    )


@behave.then("within {seconds:d} s its table in force is the platform's")
def step_right_within(context, seconds):
    for _ in range(0, seconds):
        if _matches_platform(context):
            return
        context.daemon.run(clock.SECOND)
    raise AssertionError(context.daemon.log.formatted_records)


@behave.then("its table in force is the platform's")
def step_right(context):
    assert _matches_platform(context), context.daemon.log.formatted_records


@behave.then("the log names the rows that differed")
def step_named(context):
    assert _warned(context), context.daemon.log.formatted_records


@behave.then("it has read the whole table at most {times:d} times")
def step_times(context, times):
    assert 0 < context.store.full_reads <= times, context.store.full_reads
