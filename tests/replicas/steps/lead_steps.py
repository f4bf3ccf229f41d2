"""Steps about the lease of the lead."""

import behave

from citronvalve.model import manualclock
from citronvalve.model import missing
from citronvalve.replicas import lease
from citronvalve.storage import tableservice
from standins import memorytable
from tests import quietlog


class _Door(tableservice.TableService):
    """One daemon's way to the store, which can be shut."""

    def __init__(self, store):
        self._store = store
        self.shut = False
        self.lose = False
        self.reads = 0

    def read(self, table, key):
        if self.shut:
            return missing.Unavailable("turned away")
        return self._store.read(table, key)

    def scan(self, table, after=0):
        if self.shut:
            return missing.Unavailable("turned away")
        self.reads += 1
        return self._store.scan(table, after)

    def commit(self, transaction):
        if self.shut:
            return missing.Unavailable("turned away")
        done = self._store.commit(transaction)
        if self.lose:
            self.lose = False
            return missing.AnswerLost("lost on order")
        return done


def _run(context, span, names=None, each=None):
    until = context.clock.now() + span
    while context.clock.now() < until:
        for name in names or context.alive:
            context.lease[name].step()
        if each is not None:
            each()
        context.clock.advance(lease.RENEW_INTERVAL // 2)


@behave.given("daemons a, b, c, of which a leads")
def step_daemons(context):
    context.clock = manualclock.ManualClock()
    context.clock.advance(100_000)
    store = memorytable.MemoryTable()
    context.door = {name: _Door(store) for name in "abc"}
    context.lease = {
        name: lease.Lease(
            context.door[name],
            name,
            lease.Peer(f"addr-{name}", "hakodate"),
            context.clock,
            quietlog.QuietLog(),
        )
        for name in "abc"
    }
    context.alive = ["a", "b", "c"]
    _run(context, 2_000)
    assert context.lease["a"].held
    context.first = context.lease["a"].held


@behave.when("a stops without a word")
def step_stop(context):
    context.alive.remove("a")


@behave.when("a resigns")
def step_resign(context):
    context.alive.remove("a")
    context.lease["a"].resign()


@behave.when("the answer to a's next renewal is lost")
def step_lose(context):
    context.door["a"].lose = True


@behave.when("the store is away for {seconds:d} s")
def step_away(context, seconds):
    for door in context.door.values():
        door.shut = True
    context.held = []
    _run(
        context,
        seconds * 1_000,
        each=lambda: context.held.append(context.lease["a"].held),
    )
    context.spoke = context.lease["a"].is_renewed
    for door in context.door.values():
        door.shut = False


@behave.when("the store turns a away")
def step_turn_away(context):
    context.door["a"].shut = True


@behave.when("b hears a twice a second for {seconds:d} s")
def step_hear(context, seconds):
    before = context.door["b"].reads
    held = context.lease["a"].held
    _run(
        context,
        seconds * 1_000,
        each=lambda: context.lease["b"].observe_leader("a", held),
    )
    context.reads = context.door["b"].reads - before


@behave.then("within {seconds:d} s another leads, by a higher lease")
def step_another(context, seconds):
    others = [name for name in context.alive if name != "a"]
    for _ in range(seconds * 2):
        _run(context, 500)
        led = [n for n in others if context.lease[n].held]
        if led:
            assert len(led) == 1, led
            context.leader = led[0]
            assert context.lease[led[0]].held > context.first
            return
    raise AssertionError(f"nobody leads after {seconds} s")


@behave.then("a still leads after {seconds:d} s")
def step_still(context, seconds):
    _run(context, seconds * 1_000)
    assert context.lease["a"].held == context.first
    assert context.lease["a"].is_renewed


@behave.then(
    "a holds the lease all the while, but does not speak as the leader"
)
def step_holds(context):
    assert set(context.held) == {context.first}
    assert not context.spoke
    # The others are in sight, so repairs go on.
    context.lease["a"].has_majority = lambda: True


@behave.then(
    "a speaks as the leader within {seconds:d} s of the store's return"
)
def step_speaks(context, seconds):
    _run(context, seconds * 1_000)
    assert context.lease["a"].is_renewed


@behave.then("when a hears of it, it leads no more")
def step_hears(context):
    newer = context.lease[context.leader].held
    assert context.lease["a"].observe_leader(context.leader, newer)
    assert not context.lease["a"].held


@behave.then("b has read the store once at most")
def step_reads(context):
    assert context.reads <= 1, context.reads


@behave.when("a is killed and starts again after {seconds:d} s")
def step_restart(context, seconds):
    context.alive.remove("a")
    _run(context, seconds * 1_000)
    context.lease["a"] = lease.Lease(
        context.door["a"],
        "a",
        lease.Peer("addr-a", "hakodate"),
        context.clock,
        quietlog.QuietLog(),
    )
    context.alive.insert(0, "a")


@behave.then("a leads within {seconds:d} s, by a higher lease")
def step_leads_again(context, seconds):
    _run(context, seconds * 1_000)
    assert context.lease["a"].held > context.first


@behave.when(
    "a is cut off from the store and from the others for {seconds:d} s"
)
def step_cut_off(context, seconds):
    context.lease["a"].has_majority = lambda: False
    context.door["a"].shut = True
    _run(context, 3_000)
    context.acts = []
    _run(
        context,
        (seconds - 3) * 1_000,
        each=lambda: context.acts.append(context.lease["a"].may_act()),
    )


@behave.then("a gives no order from 3 s after the cut on")
def step_no_act(context):
    assert context.acts and not any(context.acts)


@behave.then(
    "once the store can be reached again a gives none before it has renewed"
)
def step_none_before(context):
    context.lease["a"].has_majority = lambda: True
    assert not context.lease["a"].may_act()
    context.door["a"].shut = False
    _run(context, 1_000)
    assert not context.lease["a"].may_act()
    led = [n for n in "bc" if context.lease[n].may_act()]
    assert len(led) == 1, led


@behave.when("b hears a say that it knows {count:d} daemons, three times")
def step_knows(context, count):
    _run(context, 1_000)
    before = context.door["b"].reads
    held = context.lease["a"].held
    for _ in range(3):
        context.lease["b"].observe_leader("a", held, count)
        _run(context, 1_000, names=["b"])
    context.reads = context.door["b"].reads - before


@behave.then("b has read the store once at least")
def step_read(context):
    assert context.reads >= 1, context.reads
