"""Steps about runners that accept connections and answer nothing."""

import behave

from citronvalve.replicas import order as orders
from citronvalve.replicas import probefailure
from citronvalve.replicas import suspicion as suspicions
from tests.replicas import world as worlds

#: Time from the silence of a head to its report.
_UNTIL_REPORT = 400


def _first(context, model):
    """Choose the first replica of a model; return its members, head first."""
    world = context.world
    head = world.open_heads(model)[0]
    members = sorted(
        (world.runner_by_id[name] for name in world.members(head.id)),
        key=lambda runner: runner.membership.rank,
    )
    context.head, context.affected = head.id, members
    context.sent_before = len(world.sent)
    return [runner.id for runner in members]


_PICK_BY_WHICH = {
    "the head": lambda members: members[:1],
    "a member": lambda members: members[-1:],
    "all its runners": lambda members: members,
}


def _silence(context, names):
    context.world.paused |= set(names)
    context.world.run(_UNTIL_REPORT)
    context.world.planner.suspect_group(context.head)


def _pause(context, names, span):
    began = len(context.world.sent)
    _silence(context, names)
    context.world.run(span - _UNTIL_REPORT)
    context.world.resume(names)
    group = {runner.id for runner in context.affected}
    sent = [act for _, act in context.world.sent[began:]]
    assert not [act for act in sent if act.runner in group], sent


@behave.when('{which} of the first "{model}" replica pause for {seconds:g} s')
def step_silent(context, which, model, seconds):
    names = _PICK_BY_WHICH[which](_first(context, model))
    _pause(context, names, round(seconds * 1_000))


@behave.when(
    'the head of the first "{model}" replica pauses for {seconds:g} s, '
    "{times:d} times, {apart:g} s apart"
)
def step_again(context, model, seconds, times, apart):
    names = _first(context, model)[:1]
    for _ in range(times):
        _pause(context, names, round(seconds * 1_000))
        context.world.run(round((apart - seconds) * 1_000))


@behave.when(
    'every runner of "{zone}" is silent for {seconds:g} s and all resume '
    "within {spread:g} s"
)
def step_all_silent(context, zone, seconds, spread):
    world = context.world
    names = [r.id for r in world.runner_by_id.values() if r.datacentre == zone]
    context.affected = [world.runner_by_id[name] for name in names]
    began, sent_before = world.now, len(world.sent)
    world.paused |= set(names)
    world.run(_UNTIL_REPORT)
    for runner in context.affected:
        if runner.is_open_head:
            world.planner.suspect_group(runner.id)
    world.run(round(seconds * 1_000) - _UNTIL_REPORT)
    step = round(spread * 1_000) / len(names)
    for number, name in enumerate(names):
        while world.now < began + seconds * 1_000 + step * number:
            world.step()
        world.resume([name])
    sent = [act for _, act in world.sent[sent_before:] if act.runner in names]
    assert not sent, sent


@behave.when('{which} of the first "{model}" replica is silent for ever')
def step_hangs(context, which, model):
    names = _PICK_BY_WHICH[which](_first(context, model))
    _silence(context, names)


@behave.given("the runner that is probed first beside it never answers")
def step_witness_hangs(context):
    world = context.world
    head = world.open_heads("large")[0]
    context.world.paused.add(
        next(
            runner.id
            for runner in world.runner_by_id.values()
            if runner.datacentre == head.datacentre
            and runner.domain != head.domain
        )
    )


@behave.given("a runner that is probed every 400 ms, while others {others}")
def step_probed(context, others):
    context.suspicion = suspicions.Suspicion(worlds.STALL)
    context.do_others_answer = others == "answer"


@behave.when("its probes fail as {failures}")
def step_fail(context, failures):
    now, heard_at = 1_000, None
    for part in failures.split(", "):
        count, _, name = part.partition(" ")
        if not count.isdigit():
            count, name = 1, part
        for _ in range(int(count)):
            context.suspicion.record_probe(now, heard_at)
            heard_at = now if context.do_others_answer else heard_at
            failure = probefailure.ProbeFailure(name)
            context.suspicion.record_failure(failure, now + 350)
            now += 400


@behave.then("it counts as {state}")
def step_state(context, state):
    assert context.suspicion.is_lost == (state == "lost")


@behave.when(
    'the head of a "{other}" replica is silent, and a member of a "{model}" '
    "one of its data centre dies"
)
def step_dies_beside(context, other, model):
    world = context.world
    names = _first(context, model)
    zone = world.runner_by_id[context.head].datacentre
    silent = next(h for h in world.open_heads(other) if h.datacentre == zone)
    world.paused.add(silent.id)
    world.run(_UNTIL_REPORT)
    world.planner.suspect_group(silent.id)
    world.run(300)
    world.crash(names[-1])
    world.planner.suspect_group(context.head)


@behave.when("the head is silent for {seconds:g} s")
def step_head_silent(context, seconds):
    context.world.run(worlds.STEP)
    _pause(context, [context.head], round(seconds * 1_000))


@behave.then("within {seconds:d} s the other members are ordered to leave")
def step_others_leave(context, seconds):
    world = context.world
    world.run(seconds * 1_000)
    left = {
        act.runner
        for _, act in world.sent[context.sent_before :]
        if act.kind is orders.OrderKind.LEAVE
    }
    others = {r.id for r in context.affected} - {context.head}
    assert left == others, (left, others)
