"""Steps about silences that are over."""

import random

import behave

from citronvalve.replicas import order as orders
from citronvalve.replicas import probefailure
from tests.replicas import world as worlds


class _SlowProbes(worlds.World):
    def __init__(self, *args):
        self.asked = []
        super().__init__(*args)

    def _probe(self, name):
        self.asked.append((self.now, name))

    def step(self):
        super().step()
        for at, name in list(self.asked):
            failure = self._probe_failure(name)
            if failure is not None and self.now - at < 350:
                continue
            self.asked.remove((at, name))
            if failure is None:
                self.planner.liveness.record_answer(name, self.now)
            else:
                self.planner.liveness.record_no_answer(name, failure, self.now)


def _head(context):
    context.head = context.world.open_heads("large")[0].id
    return context.head


@behave.when('the first "large" head is {how} for {seconds:g} s and goes on')
def step_lost(context, how, seconds):
    world, head = context.world, _head(context)
    silent = {"paused": world.paused, "unreachable": world.unreachable}[how]
    silent.add(head)
    world.run(400)
    world.planner.suspect_group(head)
    world.run(round(seconds * 1_000) - 400)
    context.sent_before = len(world.sent)
    silent.discard(head)
    world.resume([head])


@behave.then(
    "for {seconds:d} s no runner joins another group while its head serves"
)
def step_not_two(context, seconds):
    context.world.run(seconds * 1_000)
    assert not context.world.violations, context.world.violations[:3]


@behave.given("6 domains of 11 runners serve, and probes take up to 350 ms")
def step_slow_probes(context):
    context.world = world = _SlowProbes(6, 11)
    world.run(3_000)
    world.planner.before_traffic = False
    world.run(2_000)


@behave.when(
    "a member's entry lapses, a new leader begins and the head pauses for "
    "{seconds:g} s"
)
def step_short(context, seconds):
    world, head = context.world, _head(context)
    member = next(m for m in world.members(head) if m != head)
    world.unlisted.add(member)
    world.start_leader(2)
    world.planner.before_traffic = False
    world.run(100)
    world.paused.add(head)
    world.run(400)
    world.planner.suspect_group(head)
    world.run(round(seconds * 1_000) - 400)
    world.resume([head])


@behave.then("within {seconds:d} s its head is not ordered to cut")
def step_not_cut(context, seconds):
    world = context.world
    world.run(seconds * 1_000)
    cut = [a for _, a in world.sent if a.kind is orders.OrderKind.CUT]
    assert not cut, cut


@behave.given("one probe in {every:d} of others is lost, by seed {seed:d}")
def step_lossy(context, every, seed):
    world, chance = context.world, random.Random(seed)
    sound = world._probe_failure

    def fail(name):
        if sound(name) is None and chance.random() < 1 / every:
            return probefailure.ProbeFailure.SILENT
        return sound(name)

    world._probe_failure = fail
