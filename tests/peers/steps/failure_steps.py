"""Steps about failures among peers, on in-memory links."""

import random

import behave

from citronvalve.peers import member
from citronvalve.peers import rendezvous
from citronvalve.peers import share
from standins import memorylinks
from tests.peers import cluster

#: Times in ms: more than a member takes to be heard of again, and a part of
#: the interval of heartbeats.
_BETWEEN_STOPS = 5_000
_PHASE = 130


@behave.given("{count:d} members that lend a cold upstream's only slot")
def step_members(context, count):
    cluster.start_members(context, count)


@behave.given("a team's limit of 6 slots")
def step_team(context):
    assert (
        sum(cluster.held_slots(context, cluster.TEAM).values())
        == cluster.TEAM_LIMIT
    )


def _lender(context):
    loan_manager = cluster.state(context, "d0-0").loan_manager
    return loan_manager._views.coordinator(cluster.COLD.lender_key)


@behave.when("its lender is stopped for {span:d} ms and resumed")
def step_stopped(context, span):
    context.lender = _lender(context)
    context.incarnation = cluster.state(
        context, context.lender
    ).authority.incarnation
    context.links.stop(context.lender)
    context.links.run(span)


@behave.when("each member is stopped for {span:d} ms in turn, eight times")
def step_stopped_in_turn(context, span):
    incarnation_by_name = _incarnations(context)
    context.faults = []

    def check():
        if sum(cluster.held_slots(context, cluster.COLD).values()) != 1:
            context.faults.append("the slot is not lent once")
        if _incarnations(context) != incarnation_by_name:
            context.faults.append("a new incarnation")
        for name in context.names:
            if cluster.state(context, name).membership.dead():
                context.faults.append(f"{name} marked a member dead")

    context.links.after_each = check
    for number in range(8):
        for name in context.names:
            context.links.run(_BETWEEN_STOPS + number * _PHASE)
            context.links.stop(name)
            context.links.run(span)
            context.links.wake(name)
    context.links.run(_BETWEEN_STOPS)


def _incarnations(context):
    return {
        name: cluster.state(context, name).authority.incarnation
        for name in context.names
    }


@behave.then("no member was ever marked dead, and the slot was always lent")
def step_kept(context):
    assert not context.faults, (len(context.faults), context.faults[:5])


@behave.then("the lender does not act, and holds no loan")
def step_not_acting(context):
    assert not cluster.state(context, context.lender).authority.may_act()
    context.links.wake(context.lender)
    context.links.run(0)
    assert not cluster.state(context, context.lender).authority.may_act()
    assert context.lender not in cluster.held_slots(context, cluster.COLD)


@behave.then("within {span:d} ms it acts in a new incarnation")
def step_new_incarnation(context, span):
    authority = cluster.state(context, context.lender).authority
    cluster.wait_until(context, span, authority.may_act)
    assert authority.incarnation > context.incarnation


@behave.when("a new member becomes its lender")
def step_new_member(context):
    name = next(
        f"d0-{number}"
        for number in range(4, 99)
        if _ranks_first(f"d0-{number}", context.names)
    )
    cluster.start_member(context, name, len(context.names))
    context.lender = name


def _ranks_first(name, names):
    return rendezvous.first(cluster.COLD.lender_key, (name, *names)) == name


@behave.given("the upstream's limit is raised to 8 slots")
def step_raised(context):
    context.links.after_each = lambda: None
    for name in context.names:
        cluster.state(context, name).loan_manager.lender.set_limit(
            cluster.COLD, 8
        )


@behave.then("the slot is lent again within {span:d} ms, and never twice")
def step_lent_again(context, span):
    cluster.wait_until(
        context, span, lambda: not cluster.held_slots(context, cluster.COLD)
    )
    cluster.wait_until(
        context, span, lambda: cluster.held_slots(context, cluster.COLD)
    )
    assert _lender(context) == context.lender


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
        cluster.start_member(context, name, len(context.names))
    context.links.run(cluster.SETTLE_TIME)


@behave.then("the cold upstream's slot is lent on one side only")
def step_one_side(context):
    assert sum(cluster.held_slots(context, cluster.COLD).values()) <= 1


@behave.then("the sides lend {slots:d} of the team's slots together")
def step_sides(context, slots):
    held = cluster.held_slots(context, cluster.TEAM)
    assert sum(held.values()) == slots, held


@behave.then(
    "{name} may use its share of the team's slots and none of the upstream"
)
def step_share(context, name):
    state = cluster.state(context, name)
    known = frozenset(context.names)
    own = share.split_limit(
        cluster.TEAM.lender_key, cluster.TEAM_LIMIT, known
    )[name]
    now = state.clock.now()
    assert state.others(), "it is cut off, but must not be alone yet"
    assert (
        own
        and state.loan_manager.usable_slots(cluster.TEAM, known, now) == own
    )
    assert state.loan_manager.usable_slots(cluster.COLD, known, now) == 0


@behave.when("a daemon starts alone, of {expected:d} expected")
def step_alone(context, expected):
    context.links = memorylinks.Links(random.Random(1))
    context.names = ["d0-0"]
    cluster.start_member(context, "d0-0", expected)


@behave.then(
    "after {span:d} ms it lends itself {slots:d} slots of a cold upstream"
)
def step_lends_itself(context, span, slots):
    context.links.run(span)
    assert cluster.held_slots(context, cluster.COLD) == (
        {"d0-0": slots} if slots else {}
    )


@behave.when("d0-2 and d0-3 are cut off from each other for {span:d} ms")
def step_apart(context, span):
    # A long cut of only this link leaves these views: each has marked the
    # other's current incarnation dead and forgotten it.
    for one, other in (("d0-2", "d0-3"), ("d0-3", "d0-2")):
        state = cluster.state(context, one)
        membership = state.membership
        record = membership.member_by_name[other]
        dead = record._replace(state=member.MemberState.DEAD)
        membership._put(dead, state.clock.now())
        membership.forget(other)
    context.links.cut_between({"d0-2"}, {"d0-3"})
    context.links.run(span)
    assert "d0-3" not in cluster.state(context, "d0-2").membership.alive()
    context.links.heal()


@behave.then("within {span:d} ms they see each other again")
def step_meet(context, span):
    cluster.wait_until(
        context,
        span,
        lambda: all(
            len(cluster.state(context, name).membership.alive()) == 4
            for name in context.names
        ),
    )


@behave.when("d0-2 is marked dead and an old record of it arrives at d0-0")
def step_old_record(context):
    membership = cluster.state(context, "d0-0").membership
    old = membership.member_by_name["d0-2"]
    context.links.kill("d0-2")
    cluster.wait_until(
        context, cluster.SETTLE_TIME, lambda: "d0-2" not in membership.alive()
    )
    now = cluster.state(context, "d0-0").clock.now()
    membership.merge(old._replace(heartbeat=old.heartbeat + 1), now)


@behave.then("d0-2 is still dead to d0-0")
def step_still_dead(context):
    held = cluster.state(context, "d0-0").membership.member_by_name["d0-2"]
    assert held.state is member.MemberState.DEAD
