"""Steps about beginnings of prompts that crash upstreams."""

import behave

from citronvalve.policy import crashbeginnings
from citronvalve.policy import crashfence

_STEP = 100


class _Rig:
    def __init__(self):
        self.beginnings = crashbeginnings.CrashBeginnings()
        self.now = 1_000_000

    def play(self, event):
        if not event.startswith("="):
            self.now += _STEP
        event = event.lstrip("=")
        upstream, _, prefixes = event.partition(":")
        if event.startswith("!"):
            self.beginnings.confirm_loss(event[1:], self.now)
        elif event.startswith("+"):
            self.beginnings.clear_suspicions(event[1:])
        elif event.startswith("?"):
            self.beginnings.suspect(tuple(prefixes), upstream[1:])
        elif upstream == "p":
            self.beginnings.clear(tuple(prefixes), self.now)
        elif upstream.startswith("r"):
            self._report(upstream, prefixes)
        else:
            self.beginnings.record_loss(tuple(prefixes), upstream, self.now)

    def _report(self, upstream, prefixes):
        peer = crashbeginnings.CrashBeginnings()
        peer.record_loss(tuple(prefixes), upstream, self.now)
        peer.record_loss(tuple(prefixes), "other", self.now)
        for loss in peer.recent_losses(self.now, 1_000):
            if loss.upstream == upstream:
                self.beginnings.record_remote_loss(loss, self.now)

    def admits(self, prefixes):
        return self.beginnings.admits(tuple(prefixes), self.now)


@behave.given('a daemon with the events "{events}"')
def step_events(context, events):
    context.beginnings = _Rig()
    for event in events.split():
        context.beginnings.play(event)


@behave.then('prompts of "{refused}" are refused, and of "{served}" not')
def step_both(context, refused, served):
    rig = context.beginnings
    wrong = [one for one in refused.split() if rig.admits(one)]
    wrong += [one for one in served.split() if not rig.admits(one)]
    assert not wrong, wrong


@behave.then('prompts of "" are refused, and of "{served}" not')
def step_served(context, served):
    step_both(context, "", served)


@behave.then('prompts of "{refused}" are refused, and of "" not')
def step_refused(context, refused):
    step_both(context, refused, "")


@behave.when("{seconds:d} s have passed")
def step_wait(context, seconds):
    context.beginnings.now += seconds * 1_000


@behave.then(
    'one prompt of "{prefix}" is let through, and the next one is refused'
)
def step_trial(context, prefix):
    rig = context.beginnings
    assert rig.admits(prefix)
    assert not rig.admits(prefix)


@behave.then("peers are told of {count:d} losses of beginnings")
def step_told(context, count):
    rig = context.beginnings
    told = rig.beginnings.recent_losses(rig.now, 60_000)
    assert len(told) == count, told
    assert all(isinstance(loss, crashfence.Loss) for loss in told)
