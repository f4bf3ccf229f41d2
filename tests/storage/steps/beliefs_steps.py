"""Steps about daemons that follow a table by one another's readings."""

import behave

from citronvalve.storage import rows
from tests.storage import believers
from tests.storage import disorder
from tests.storage import fleet as fleets

_SETTLED = 1_500
_OTHER_TABLE = rows.Write("other", "k", {})


def _fleet(context, names):
    context.fleet = fleets.Fleet(names, ("k-1", "k-2", "k-3"))
    context.fleet.sim.run(_SETTLED)
    assert not context.fleet.wrong()


_READER_BY_TABLE = {
    "upstreams": believers.Upstreams,
    "evacuations": believers.Evacuations,
}


@behave.given("daemons a, b, c that follow {table}, of which a leads")
def step_table(context, table):
    make = _READER_BY_TABLE[table]
    context.fleet = fleets.Fleet(("a", "b", "c"), ("k-1", "k-2"), make)
    context.fleet.sim.run(_SETTLED)
    assert not context.fleet.wrong()


@behave.given(
    "daemons a, b, c that hold what the store holds, of which a leads"
)
def step_three(context):
    _fleet(context, ("a", "b", "c"))


@behave.given(
    "daemons a, b, c, d, e that hold what the store holds, of which a leads"
)
def step_five(context):
    _fleet(context, ("a", "b", "c", "d", "e"))


@behave.given("nobody reaches c, and c nobody")
def step_alone(context):
    context.fleet.daemon_by_name["c"].cut = True


@behave.when(
    "a row goes and the history is forgotten before any daemon reads it"
)
def step_forget(context):
    context.fleet.store.drop("k-2")
    context.fleet.store.forget()


@behave.when("a row goes")
def step_drop(context):
    context.fleet.store.drop("k-2")


@behave.when("the counter rises, and a's next call is after what b has heard")
def step_counter(context):
    fleet = context.fleet
    a, b = (fleet.daemon_by_name[name].tail for name in "ab")
    for _ in range(5_000):
        if b.revision == a.revision:
            _raise_counter(fleet)
        fleet.sim.run(100)
        if b.revision < a.revision:
            break
    assert b.revision < a.revision
    context.calls = fleet.daemon_by_name["b"].access.calls


@behave.then(
    "within {span:d} ms all daemons hold what the store holds, by no call of b"
)
def step_right_by_word(context, span):
    context.fleet.sim.run(span)
    assert not context.fleet.wrong(), context.fleet.wrong()
    assert context.fleet.daemon_by_name["b"].access.calls == context.calls


@behave.when("messages to c take {span:d} ms longer than before")
def step_late(context, span):
    c = context.fleet.daemon_by_name["c"]
    # A queue grows by steps, so that statements go on to come.
    for _ in range(span // 500):
        c.hop += 500
        context.fleet.sim.run(1_000)


@behave.when("what a tells does not reach c for 100 ms")
def step_lost(context):
    context.fleet.daemon_by_name["c"].cut = True
    context.fleet.sim.run(100)
    context.fleet.daemon_by_name["c"].cut = False


def _raise_counter(fleet):
    fleet.store.commit(rows.Transaction("t", (), (_OTHER_TABLE,)))


def _mislead(context, names, found, gone):
    # The counter rises with other tables, so that a false update can have a
    # revision that the store really has.
    fleet = context.fleet
    _raise_counter(fleet)
    newest = fleet.store.scan(fleets.TABLE).revision
    for name in names.split(", "):
        tail = fleet.daemon_by_name[name].tail
        tail.apply_update(
            tail.revision, rows.Scan(newest, found, gone), "nobody"
        )
    assert set(names.split(", ")) == set(fleet.wrong())


@behave.when("an update with a row that never was reaches {names}")
def step_ghost(context, names):
    _mislead(context, names, (rows.Row(fleets.TABLE, "ghost", {}, 1),), ())


@behave.when("an update without a row that is there reaches {names}")
def step_hidden(context, names):
    _mislead(context, names, (), ("k-1",))


@behave.when("c leads in a's place")
def step_succeed(context):
    context.fleet.leader = "c"


@behave.when("c loses its history, and the store turns it away")
def step_turned_away(context):
    fleet = context.fleet
    c = fleet.daemon_by_name["c"]
    c.cut = True
    fleet.store.put("k-4")
    fleet.sim.run(100)
    fleet.store.forget()
    c.cut = False
    # Its own call finds the history gone; the next one is turned away.
    for _ in range(3_000):
        if "c" in fleet.store.refused_history:
            break
        fleet.sim.run(1)
    assert "c" in fleet.store.refused_history
    c.access.refused = True
    fleet.sim.run(100)


@behave.when(
    "c reads the table whole, and the answer is on its way for 300 ms"
)
def step_slow(context):
    context.fleet.daemon_by_name["c"].access.way_back = 300
    step_ghost(context, "c")
    context.fleet.sim.run(350)


@behave.then("once c has dropped that row it never holds it again")
def step_never(context):
    fleet = context.fleet
    held = fleet.daemon_by_name["c"].held
    dropped = False
    for _ in range(300):
        fleet.sim.run(10)
        dropped = dropped or "k-2" not in held.keys
        assert not dropped or "k-2" not in held.keys
    assert dropped and not fleet.wrong()


@behave.then("no statement of a is of a moment to come within 1 s")
def step_not_ahead(context):
    for _ in range(100):
        context.fleet.sim.run(10)
        assert context.fleet.daemon_by_name["a"].tail.state().age >= 0


@behave.then("within {seconds:d} s all daemons hold what the store holds")
def step_right(context, seconds):
    context.fleet.sim.run(seconds * 1_000)
    assert not context.fleet.wrong(), context.fleet.wrong()


@behave.when("faults strike at random for {seconds:d} s, by seed {seed:d}")
def step_faults(context, seconds, seed):
    context.found = disorder.play(context.fleet, seconds * 1_000, seed)


@behave.then("no daemon was wrong for more than {own:d} s")
def step_bounded(context, own):
    most = own * 1_000
    late = [w for w in context.found if w.span > most and not w.turned_away]
    assert not late, late


@behave.then("none that the store turned away for more than {told:d} s")
def step_turned_away_bounded(context, told):
    most = told * 1_000
    late = [w for w in context.found if w.span > most and w.turned_away]
    assert not late, late
