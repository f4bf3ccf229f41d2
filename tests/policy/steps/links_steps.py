"""Steps about lost links and the choice of relays."""

import collections
import random

import behave

from citronvalve.policy import links as links_
from citronvalve.policy import relaychoice

_STEP = 100


class _Rig:
    def __init__(self, datacentres="a"):
        self.datacentres = set(datacentres)
        self.links = links_.Links("a")
        self.now = 1_000

    def play(self, events):
        for event in events.split():
            self.now += _STEP
            kind, upstream = event[0], event[1:]
            if kind == "o":
                self.links.record_opened(upstream, self.now)
            elif kind == "f":
                self.links.record_failed()
            else:
                last = upstream[-1]
                datacentre = "a" if last.isdigit() else last
                self.links.record_lost(
                    upstream, datacentre, self.datacentres, self.now
                )


@behave.given('links whose events are "{events}"')
def step_events(context, events):
    context.links_rig = _Rig()
    context.links_rig.play(events)


@behave.given(
    "links of a VM in a to the data centres {datacentres}, whose events are "
    '"{events}"'
)
def step_two(context, datacentres, events):
    context.links_rig = _Rig(datacentres.split())
    context.links_rig.play(events)


@behave.then(
    "the links are {state}, and upstream {upstream:d} is {reached} directly"
)
def step_state(context, state, upstream, reached):
    rig = context.links_rig
    assert rig.links.state.value == state, rig.links.state
    is_lost = rig.links.is_lost(str(upstream), rig.now)
    assert is_lost is (reached == "not reached")


@behave.given(
    "links that are lost {times:d} times, each time {apart:d} s after their "
    "return"
)
def step_flapping(context, times, apart):
    rig = context.links_rig = _Rig()
    for turn in range(times):
        if turn:
            rig.play("o1 " * 8)
            rig.now += apart * 1_000
        rig.play("l1 l2")


@behave.then("{count:d} connections opened in a row show that they are back")
def step_count(context, count):
    rig = context.links_rig
    rig.play("o1 " * (count - 1))
    assert rig.links.is_cut
    rig.play("o1")
    assert not rig.links.is_cut


@behave.given("an upstream whose link is lost {times:d} times in a row")
def step_single(context, times):
    rig = context.links_rig = _Rig()
    rig.play("l1 " * times)


@behave.then("it is connected to directly after {seconds:d} s, not before")
def step_after(context, seconds):
    rig = context.links_rig
    until = rig.now + seconds * 1_000
    assert rig.links.is_lost("1", until - 1)
    assert not rig.links.is_lost("1", until)


@behave.given('the daemons "{daemons}" of data centres a and b')
def step_daemons(context, daemons):
    context.cut_off = {
        name.removesuffix("-cut")
        for name in daemons.split()
        if name.endswith("-cut")
    }
    context.relays = [
        relaychoice.Relay(name, f"addr-{name}", name[0])
        for name in daemons.replace("-cut", "").split()
    ]


@behave.when("a daemon of a opens {count:d} connections through them")
def step_open(context, count):
    choice = relaychoice.RelayChoice("a", random.Random(3))
    context.carried = collections.Counter()
    context.refused = 0
    now = 1_000
    for _ in range(count):
        now += _STEP
        asked = set()
        while (relay := choice.choose(context.relays, asked, now)) is not None:
            asked.add(relay.name)
            if relay.name not in context.cut_off:
                choice.record_open(relay.name)
                choice.record_worked(relay.name, now)
                context.carried[relay.name] += 1
                break
            context.refused += 1
            choice.record_refusal(relay.name, now, busy=False)


@behave.then('they carry "{carried}"')
def step_carried(context, carried):
    words = carried.split()
    expected = dict(zip(words[::2], map(int, words[1::2]), strict=True))
    assert context.carried == expected, context.carried


@behave.then("at most {count:d} requests went to daemons without links")
def step_refused(context, count):
    assert context.refused <= count, context.refused
