"""Steps about failures among peers, on links in memory."""

import random

import behave

from citronvalve.peers import member
from citronvalve.peers import rendezvous
from citronvalve.peers import share
from standins import memorylinks
from tests.peers import cluster


@behave.given("{count:d} members that lend a cold upstream's only slot")
def step_members(context, count):
    cluster.begin(context, count)


@behave.given("a team's limit of 6 slots")
def step_team(context):
    assert (
        sum(cluster.held(context, cluster.TEAM).values()) == cluster.TEAM_LIMIT
    )


def _keeper(context):
    members = cluster.state(context, "d0-0").loan_manager
    return members._views.coordinator(cluster.COLD.lender_key)


@behave.when("its keeper is stopped for {span:d} ms and wakes")
def step_stopped(context, span):
    context.keeper = _keeper(context)
    context.life = cluster.state(context, context.keeper).authority.incarnation
    context.links.stop(context.keeper)
    context.links.run(span)


@behave.then("the keeper does not act, and holds no loan")
def step_not_acting(context):
    assert not cluster.state(context, context.keeper).authority.may_act()
    context.links.wake(context.keeper)
    context.links.run(0)
    assert not cluster.state(context, context.keeper).authority.may_act()
    assert context.keeper not in cluster.held(context, cluster.COLD)


@behave.then("within {span:d} ms it acts in a new life")
def step_new_life(context, span):
    authority = cluster.state(context, context.keeper).authority
    cluster.within(context, span, authority.may_act)
    assert authority.incarnation > context.life


@behave.when("a newcomer becomes its keeper")
def step_newcomer(context):
    name = next(
        f"d0-{number}"
        for number in range(4, 99)
        if _ranks_first(f"d0-{number}", context.names)
    )
    cluster.start(context, name, len(context.names))
    context.keeper = name


def _ranks_first(name, names):
    return rendezvous.first(cluster.COLD.lender_key, (name, *names)) == name


@behave.given("the upstream bears 8 slots by now")
def step_bears(context):
    context.links.after_each = lambda: None
    for name in context.names:
        cluster.state(context, name).loan_manager.lender.set_limit(
            cluster.COLD, 8
        )


@behave.then("the slot is lent again within {span:d} ms, and never twice")
def step_lent_again(context, span):
    cluster.within(
        context, span, lambda: not cluster.held(context, cluster.COLD)
    )
    cluster.within(context, span, lambda: cluster.held(context, cluster.COLD))
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
        cluster.start(context, name, len(context.names))
    context.links.run(cluster.CALM)


@behave.then("the cold upstream's slot is lent on one side only")
def step_one_side(context):
    assert sum(cluster.held(context, cluster.COLD).values()) <= 1


@behave.then("the sides lend {slots:d} of the team's slots together")
def step_sides(context, slots):
    held = cluster.held(context, cluster.TEAM)
    assert sum(held.values()) == slots, held


@behave.then(
    "{name} may use its share of the team's slots and none of the upstream"
)
def step_share(context, name):
    state = cluster.state(context, name)
    known = frozenset(context.names)
    mine = share.split_limit(
        cluster.TEAM.lender_key, cluster.TEAM_LIMIT, known
    )[name]
    now = state.clock.now()
    assert state.others(), "it is to be cut off, and not yet alone"
    assert (
        mine
        and state.loan_manager.usable_slots(cluster.TEAM, known, now) == mine
    )
    assert state.loan_manager.usable_slots(cluster.COLD, known, now) == 0


@behave.when("a daemon starts alone, of {expected:d} expected")
def step_alone(context, expected):
    context.links = memorylinks.Links(random.Random(1))
    context.names = ["d0-0"]
    cluster.start(context, "d0-0", expected)


@behave.then(
    "after {span:d} ms it lends itself {slots:d} slots of a cold upstream"
)
def step_lends_itself(context, span, slots):
    context.links.run(span)
    assert cluster.held(context, cluster.COLD) == (
        {"d0-0": slots} if slots else {}
    )


@behave.when("d0-2 and d0-3 don't hear of each other for {span:d} ms")
def step_apart(context, span):
    # The view that a long cut of that one link leaves behind: each holds
    # the other's present life dead, and has forgotten it.
    for one, other in (("d0-2", "d0-3"), ("d0-3", "d0-2")):
        state = cluster.state(context, one)
        membership = state.membership
        held = membership.member_by_name[other]
        dead = held._replace(state=member.MemberState.DEAD)
        membership._put(dead, state.clock.now())
        membership.forget(other)
    context.links.cut_between({"d0-2"}, {"d0-3"})
    context.links.run(span)
    assert "d0-3" not in cluster.state(context, "d0-2").membership.alive()
    context.links.heal()


@behave.then("within {span:d} ms of the end they see each other")
def step_meet(context, span):
    cluster.within(
        context,
        span,
        lambda: all(
            len(cluster.state(context, name).membership.alive()) == 4
            for name in context.names
        ),
    )


@behave.when("d0-2 is buried and an old record of it arrives at d0-0")
def step_old_record(context):
    membership = cluster.state(context, "d0-0").membership
    old = membership.member_by_name["d0-2"]
    context.links.kill("d0-2")
    cluster.within(
        context, cluster.CALM, lambda: "d0-2" not in membership.alive()
    )
    now = cluster.state(context, "d0-0").clock.now()
    membership.merge(old._replace(heartbeat=old.heartbeat + 1), now)


@behave.then("d0-0 still holds d0-2 dead")
def step_still_dead(context):
    held = cluster.state(context, "d0-0").membership.member_by_name["d0-2"]
    assert held.state is member.MemberState.DEAD
