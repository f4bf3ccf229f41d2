"""Steps for the consistency of daemons that follow a table together."""

import behave

from citronvalve.storage import rows
from tests.storage import faults
from tests.storage import fleet as fleets
from tests.storage import listeners

_SETTLE_TIME = 1_500
_OTHER_TABLE_WRITE = rows.Write("other", "k", {})


def _make_fleet(context, names):
    context.fleet = fleets.Fleet(names, ("k-1", "k-2", "k-3"))
    context.fleet.sim.run(_SETTLE_TIME)
    assert not context.fleet.mismatches()


_LISTENER_BY_TABLE = {
    "upstreams": listeners.UpstreamListener,
    "evacuations": listeners.EvacuationListener,
}


@behave.given("daemons a, b, c that follow {table}, with a as the leader")
def step_table(context, table):
    make_listener = _LISTENER_BY_TABLE[table]
    context.fleet = fleets.Fleet(
        ("a", "b", "c"), ("k-1", "k-2"), make_listener
    )
    context.fleet.sim.run(_SETTLE_TIME)
    assert not context.fleet.mismatches()


@behave.given("daemons a, b, c with the rows of the store and a as the leader")
def step_three_daemons(context):
    _make_fleet(context, ("a", "b", "c"))


@behave.given(
    "daemons a, b, c, d, e with the rows of the store and a as the leader"
)
def step_five_daemons(context):
    _make_fleet(context, ("a", "b", "c", "d", "e"))


@behave.given("c is isolated from the other daemons")
def step_isolate(context):
    context.fleet.daemon_by_name["c"].is_isolated = True


@behave.when(
    "a row is deleted and the history discarded before any daemon reads it"
)
def step_delete_and_discard_history(context):
    context.fleet.store.delete("k-2")
    context.fleet.store.discard_history()


@behave.when("a row is deleted")
def step_delete(context):
    context.fleet.store.delete("k-2")


@behave.when("the counter rises and a has a higher revision than b")
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
    context.calls = fleet.daemon_by_name["b"].store_client.calls


@behave.then(
    "within {duration:d} ms all daemons have the rows of the store,"
    " without a call of b"
)
def step_consistent_without_call(context, duration):
    context.fleet.sim.run(duration)
    assert not context.fleet.mismatches(), context.fleet.mismatches()
    assert (
        context.fleet.daemon_by_name["b"].store_client.calls == context.calls
    )


@behave.when("messages to c take {delay:d} ms longer than before")
def step_delay_messages(context, delay):
    c = context.fleet.daemon_by_name["c"]
    # The delay grows in steps, so that states keep arriving.
    for _ in range(delay // 500):
        c.message_delay += 500
        context.fleet.sim.run(1_000)


@behave.when("messages from a do not reach c for 100 ms")
def step_lose_messages(context):
    context.fleet.daemon_by_name["c"].is_isolated = True
    context.fleet.sim.run(100)
    context.fleet.daemon_by_name["c"].is_isolated = False


def _raise_counter(fleet):
    fleet.store.commit(rows.Transaction("t", (), (_OTHER_TABLE_WRITE,)))


def _send_false_update(context, names, changed, deleted):
    # Other tables raise the counter, so that the false update has a revision
    # that exists in the store.
    fleet = context.fleet
    _raise_counter(fleet)
    newest = fleet.store.scan(fleets.TABLE).revision
    for name in names.split(", "):
        tail = fleet.daemon_by_name[name].tail
        tail.apply_update(
            tail.revision, rows.Scan(newest, changed, deleted), "nobody"
        )
    assert set(names.split(", ")) == set(fleet.mismatches())


@behave.when("an update with a row that never existed reaches {names}")
def step_false_row(context, names):
    _send_false_update(
        context, names, (rows.Row(fleets.TABLE, "ghost", {}, 1),), ()
    )


@behave.when("an update without a row that exists reaches {names}")
def step_false_deletion(context, names):
    _send_false_update(context, names, (), ("k-1",))


@behave.when("c becomes the leader in place of a")
def step_change_leader(context):
    context.fleet.leader = "c"


@behave.when("c's history is discarded and the store rejects its calls")
def step_reject_calls(context):
    fleet = context.fleet
    c = fleet.daemon_by_name["c"]
    c.is_isolated = True
    fleet.store.put("k-4")
    fleet.sim.run(100)
    fleet.store.discard_history()
    c.is_isolated = False
    # Its next call gets "the history is gone", and later calls are rejected.
    for _ in range(3_000):
        if "c" in fleet.store.lost_history_count_by_name:
            break
        fleet.sim.run(1)
    assert "c" in fleet.store.lost_history_count_by_name
    c.store_client.is_rejected = True
    fleet.sim.run(100)


@behave.when("c reads all rows and the response takes 300 ms")
def step_slow_full_read(context):
    context.fleet.daemon_by_name["c"].store_client.response_delay = 300
    step_false_row(context, "c")
    context.fleet.sim.run(350)


@behave.then("once c has deleted that row it never has it again")
def step_never_again(context):
    fleet = context.fleet
    listener = fleet.daemon_by_name["c"].listener
    is_deleted = False
    for _ in range(300):
        fleet.sim.run(10)
        is_deleted = is_deleted or "k-2" not in listener.keys
        assert not is_deleted or "k-2" not in listener.keys
    assert is_deleted and not fleet.mismatches()


@behave.then("for 1 s no state of a is dated in the future")
def step_not_in_future(context):
    for _ in range(100):
        context.fleet.sim.run(10)
        assert context.fleet.daemon_by_name["a"].tail.state().age >= 0


@behave.then("within {seconds:d} s all daemons have the rows of the store")
def step_consistent(context, seconds):
    context.fleet.sim.run(seconds * 1_000)
    assert not context.fleet.mismatches(), context.fleet.mismatches()


@behave.when("random faults occur for {seconds:d} s with seed {seed:d}")
def step_random_faults(context, seconds, seed):
    context.mismatches = faults.inject_faults(
        context.fleet, seconds * 1_000, seed
    )


@behave.then(
    "no daemon that reaches the store had wrong rows for more than"
    " {seconds:d} s"
)
def step_duration_if_reachable(context, seconds):
    most = seconds * 1_000
    late = [
        each
        for each in context.mismatches
        if each.duration > most and not each.is_rejected
    ]
    assert not late, late


@behave.then(
    "no daemon that the store rejects had them for more than {seconds:d} s"
)
def step_duration_if_rejected(context, seconds):
    most = seconds * 1_000
    late = [
        each
        for each in context.mismatches
        if each.duration > most and each.is_rejected
    ]
    assert not late, late
