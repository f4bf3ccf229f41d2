"""Steps about failures among peers, on links in memory."""

import random

import behave

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.peers import change
from citronvalve.peers import crashfact
from citronvalve.peers import loankey
from citronvalve.peers import member
from citronvalve.peers import rendezvous
from citronvalve.peers import share
from citronvalve.peers import tablecopy
from citronvalve.peers import tabledelta
from standins import memorylinks

_COLD = loankey.LoanKey(loankey.LoanKind.COLD, "engine-1", "start-1")
_TEAM = loankey.LoanKey(loankey.LoanKind.TEAM, "ledger/coder/d0")
_TEAM_LIMIT = 6
_CALM = 25 * clock.SECOND
_STEP = 250


def _start(context, name, expected=0):
    seeds = tuple(n for n in context.names if n != name)[:2]
    context.links.start(name, name[:2], seeds, expected=expected)
    grants = _state(context, name).grants
    for key, limit in ((_COLD, 1), (_TEAM, _TEAM_LIMIT)):
        grants.lender.set_limit(key, limit)
        grants.borrower.want(key, limit)


def _state(context, name):
    return context.links.node_by_name[name].core.state


def _held(context, key):
    held = {}
    for name, node in context.links.node_by_name.items():
        slots = node.core.state.grants.borrower.held(key, node.clock.now())
        if slots:
            held[name] = slots
    return held


def _within(context, span, true):
    for _ in range(0, span, _STEP):
        if true():
            return
        context.links.run(_STEP)
    raise AssertionError(f"not within {span} ms")


def _look_once_lent(context):
    held = _held(context, _COLD)
    assert sum(held.values()) <= 1, held


@behave.given("{count:d} members that lend a cold upstream's only slot")
def step_members(context, count):
    context.links = memorylinks.Links(random.Random(count))
    context.names = [f"d0-{number}" for number in range(count)]
    for name in context.names:
        _start(context, name, count)
    context.links.run(_CALM)
    assert sum(_held(context, _COLD).values()) == 1
    context.links.after_each = lambda: _look_once_lent(context)


@behave.given("a team's limit of 6 slots")
def step_team(context):
    assert sum(_held(context, _TEAM).values()) == _TEAM_LIMIT


def _keeper(context):
    members = _state(context, "d0-0").grants
    return members._views.keeper(_COLD.keeper_key)


@behave.when("its keeper is stopped for {span:d} ms and wakes")
def step_stopped(context, span):
    context.keeper = _keeper(context)
    context.life = _state(context, context.keeper).standing.incarnation
    context.links.stop(context.keeper)
    context.links.run(span)


@behave.then("the keeper does not act, and holds no loan")
def step_not_acting(context):
    assert not _state(context, context.keeper).standing.acting()
    context.links.wake(context.keeper)
    context.links.run(0)
    assert not _state(context, context.keeper).standing.acting()
    assert context.keeper not in _held(context, _COLD)


@behave.then("within {span:d} ms it acts in a new life")
def step_new_life(context, span):
    standing = _state(context, context.keeper).standing
    _within(context, span, standing.acting)
    assert standing.incarnation > context.life


@behave.when("a newcomer becomes its keeper")
def step_newcomer(context):
    name = next(
        f"d0-{number}"
        for number in range(4, 99)
        if _ranks_first(f"d0-{number}", context.names)
    )
    _start(context, name, len(context.names))
    context.keeper = name


def _ranks_first(name, names):
    return rendezvous.first(_COLD.keeper_key, (name, *names)) == name


@behave.given("the upstream bears 8 slots by now")
def step_bears(context):
    context.links.after_each = lambda: None
    for name in context.names:
        _state(context, name).grants.lender.set_limit(_COLD, 8)


@behave.then("the slot is lent again within {span:d} ms, and never twice")
def step_lent_again(context, span):
    _within(context, span, lambda: not _held(context, _COLD))
    _within(context, span, lambda: _held(context, _COLD))
    assert _keeper(context) == context.keeper


def _cut(context, these):
    context.side = set(these.split(","))
    context.links.cut_between(context.side, set(context.names) - context.side)


@behave.when("{these} are cut off for {span:d} ms")
@behave.when("{these} is cut off for {span:d} ms")
def step_cut(context, these, span):
    _cut(context, these)
    context.links.run(span)


@behave.when("{these} are cut off and restart there")
def step_restart(context, these):
    _cut(context, these)
    for name in sorted(context.side):
        context.links.kill(name)
        _start(context, name, len(context.names))
    context.links.run(_CALM)


@behave.then("the cold upstream's slot is lent on one side only")
def step_one_side(context):
    assert sum(_held(context, _COLD).values()) <= 1


@behave.then("the sides lend {slots:d} of the team's slots together")
def step_sides(context, slots):
    held = _held(context, _TEAM)
    assert sum(held.values()) == slots, held


@behave.then(
    "{name} may use its share of the team's slots and none of the upstream"
)
def step_share(context, name):
    state = _state(context, name)
    known = frozenset(context.names)
    mine = share.shares(_TEAM.keeper_key, _TEAM_LIMIT, known)[name]
    now = state.clock.now()
    assert state.others(), "it is to be cut off, and not yet alone"
    assert mine and state.grants.slots(_TEAM, known, now) == mine
    assert state.grants.slots(_COLD, known, now) == 0


@behave.when("a daemon starts alone, of {expected:d} expected")
def step_alone(context, expected):
    context.links = memorylinks.Links(random.Random(1))
    context.names = ["d0-0"]
    _start(context, "d0-0", expected)


@behave.then(
    "after {span:d} ms it lends itself {slots:d} slots of a cold upstream"
)
def step_lends_itself(context, span, slots):
    context.links.run(span)
    assert _held(context, _COLD) == ({"d0-0": slots} if slots else {})


@behave.when("d0-2 and d0-3 don't hear of each other for {span:d} ms")
def step_apart(context, span):
    # The view that a long cut of that one link leaves behind: each holds
    # the other's present life dead, and has forgotten it.
    for one, other in (("d0-2", "d0-3"), ("d0-3", "d0-2")):
        state = _state(context, one)
        membership = state.membership
        held = membership.member_by_name[other]
        dead = held._replace(state=member.MemberState.DEAD)
        membership._put(dead, state.clock.now())
        membership.forget(other)
    context.links.cut_between({"d0-2"}, {"d0-3"})
    context.links.run(span)
    assert "d0-3" not in _state(context, "d0-2").membership.alive()
    context.links.heal()


@behave.then("within {span:d} ms of the end they see each other")
def step_meet(context, span):
    _within(
        context,
        span,
        lambda: all(
            len(_state(context, name).membership.alive()) == 4
            for name in context.names
        ),
    )


@behave.when("d0-2 is buried and an old record of it arrives at d0-0")
def step_old_record(context):
    membership = _state(context, "d0-0").membership
    old = membership.member_by_name["d0-2"]
    context.links.kill("d0-2")
    _within(context, _CALM, lambda: "d0-2" not in membership.alive())
    now = _state(context, "d0-0").clock.now()
    membership.merge(old._replace(beat=old.beat + 1), now)


@behave.then("d0-0 still holds d0-2 dead")
def step_still_dead(context):
    held = _state(context, "d0-0").membership.member_by_name["d0-2"]
    assert held.state is member.MemberState.DEAD


def _rows(count, size):
    return tuple(
        change.Change("table", f"row-{number}", number, b"v" * size)
        for number in range(1, count + 1)
    )


@behave.given("a copy of a table of 40 rows at version 40")
def step_copy(context):
    context.copy = tablecopy.TableCopy(invariant.Invariants())
    context.copy.apply(tabledelta.TableDelta(40, 0, _rows(40, 10)))


@behave.when("another copy takes it with one row spoilt")
def step_spoilt(context):
    context.other = tablecopy.TableCopy(invariant.Invariants())
    page = context.copy.page_after(context.other.wanted())
    bad = page.changes[3]._replace(value=b"spoilt")
    changes = (*page.changes[:3], bad, *page.changes[4:])
    assert not context.other.take(page._replace(changes=changes))


@behave.then("the spoilt table is refused, and the whole one is taken next")
def step_refused(context):
    assert (context.other.version, context.other.refused) == (0, 1)
    page = context.copy.page_after(context.other.wanted())
    assert context.other.take(page)
    assert context.other.digest == context.copy.digest


@behave.given("3 members that hold {count:d} rows of {size:d} bytes")
def step_large(context, count, size):
    step_members(context, 3)
    delta = tabledelta.TableDelta(count, 0, _rows(count, size))
    context.links.node_by_name["d0-0"].core.offer_table(delta)
    context.links.run(10 * clock.SECOND)
    assert {_state(context, n).table.version for n in context.names} == {count}
    context.count = count


@behave.when("a fourth member starts")
def step_fourth(context):
    context.links.start("d0-3", "d0", ("d0-1",))


@behave.then("within {span:d} ms it holds them all, and never held a part")
def step_all(context, span):
    table = _state(context, "d0-3").table
    seen = set()

    def _done():
        seen.add(len(table.rows()))
        return table.version == context.count

    _within(context, span, _done)
    assert seen == {0, context.count}, seen


@behave.when("d0-2 is stopped and an edit comes")
def step_edit(context):
    context.links.stop("d0-2")
    delta = tabledelta.TableDelta(7, 0, _rows(7, 10))
    context.links.node_by_name["d0-1"].core.offer_table(delta)


@behave.then("{span:d} ms later d0-0 names d0-2 as silent")
def step_silent(context, span):
    context.links.run(span)
    core = context.links.node_by_name["d0-0"].core
    assert core.confirmation(7).silent == ("d0-2",), core.confirmation(7)


@behave.given("3 data centres of 3 members with {loss:d}% loss")
def step_places(context, loss):
    context.links = memorylinks.Links(random.Random(3), loss=loss / 100)
    context.names = [f"d{d}-{m}" for d in range(3) for m in range(3)]
    for name in context.names:
        context.links.start(name, name[:2], ("d0-0", "d1-0"))
    context.links.run(10 * clock.SECOND)


@behave.when("one member sees a crash")
def step_crash(context):
    state = _state(context, "d1-2")
    fact = crashfact.CrashFact("request", "engine-1", "start-1", 0)
    state.crashes.hear(fact, state.clock.now())


@behave.then("within {span:d} ms every member knows of it")
def step_known(context, span):
    _within(
        context,
        span,
        lambda: all(
            _state(context, name).crashes.facts(
                _state(context, name).clock.now()
            )
            for name in context.names
        ),
    )


@behave.when("one member measures a load")
def step_load(context):
    node = context.links.node_by_name["d1-2"]
    report = load.LoadReport("engine-1", "s", 1, 0, 8, node.clock.now())
    node.core.offer_load(report)
    context.measured_at = context.links.clock.now()


@behave.then(
    "within {span:d} ms every member knows it, at its true age to {most:d} ms"
)
def step_age(context, span, most):
    def _reports():
        return [
            _state(context, name).loads.report("engine-1")
            for name in context.names
        ]

    _within(context, span, lambda: all(_reports()))
    true_age = context.links.clock.now() - context.measured_at
    for name in context.names:
        state = _state(context, name)
        age = state.clock.now() - state.loads.report("engine-1").seen_at
        assert abs(age - true_age) <= most, (name, age, true_age)
