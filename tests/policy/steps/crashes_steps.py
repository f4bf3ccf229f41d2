"""Steps about contents of requests that crash upstreams."""

import re

import behave

from citronvalve.policy import crashdoubts
from citronvalve.policy import crashevidence
from citronvalve.policy import crashjudge
from citronvalve.policy import crashsuspects
from citronvalve.policy import earlierproofs

_STEP = 100
#: Upstreams that take requests.
_UPSTREAMS = 8

_MODEL_BY_NAME = {"l": 1, "s": 2}


#: Lies between the digest of a whole request, and that of its losses after
#: its beginning was survived.
_LATE = 1_000


def _content(letter):
    return ord(letter)


def _late(match):
    return chr(ord(match[1]) + _LATE)


def _model(name):
    return _MODEL_BY_NAME[name or "l"]


class _Rig:
    def __init__(self):
        self.suspects = crashsuspects.CrashSuspects()
        self.now = 1_000
        self.upstreams = _UPSTREAMS

    def play(self, events):
        for event in events.split():
            if not event.startswith("="):
                self.now += _STEP
            kind, _, what = event.lstrip("=").partition(":")
            if kind == "t":
                self.now += int(what) - _STEP
                continue
            if kind == "n":
                self.upstreams = int(what)
                continue
            what, _, model = re.sub("~(.)", _late, what).partition("/")
            if kind == "p":
                self._prove(what, _model(model))
            else:
                self._lose(int(kind[1:]), what, _model(model))

    def _prove(self, contents, model):
        for letter in contents:
            proof = crashevidence.Proof(_content(letter), model, self.now)
            self.suspects.record_proof(proof)

    def _lose(self, start, requests, model):
        begun, *waiting = requests.split("+")
        for contents in (begun, *waiting):
            for letter in contents:
                loss = crashevidence.Loss(
                    _content(letter), start, model, self.now, contents is begun
                )
                self.suspects.record_loss(loss)

    def is_refused(self, request):
        contents, _, model = request.partition("/")
        whole = [_content(letter) for letter in contents if letter.islower()]
        parts = [_content(letter) for letter in contents if letter.isupper()]
        contents = crashevidence.Contents(
            *whole, tuple(parts), whole[0] + _LATE
        )
        case = crashjudge.Case(
            contents, _model(model), self.now, self.upstreams
        )
        found = self.suspects.judge.find(case)
        return found is not None


def _check(rig, refused, served):
    wrong = [r for r in refused.split() if not rig.is_refused(r)]
    wrong += [r for r in served.split() if rig.is_refused(r)]
    assert not wrong, wrong


@behave.given('losses and proofs "{events}"')
def step_events(context, events):
    context.crashes = _Rig()
    context.crashes.play(events)


@behave.given("a content with {losses:d} losses, the last at {last:d} ms")
def step_losses(context, losses, last):
    context.crashes = rig = _Rig()
    for start in range(losses):
        at = last - start * _STEP
        rig.suspects.record_loss(crashevidence.Loss(7, start, 1, at))


@behave.then("it may be tried from {at:d} ms on")
def step_trial(context, at):
    contents = crashevidence.Contents(0, (7,))
    case = crashjudge.Case(contents, 1, at)
    found = context.crashes.suspects.judge.find(case)
    assert found.trial_at == at, found


@behave.when("{count:d} other contents are lost, {each:d} with each start")
def step_flood(context, count, each):
    rig = context.crashes
    for number in range(count):
        rig.now += number % each == 0
        loss = crashevidence.Loss(
            1_000 + number, 1_000 + number // each, 1, rig.now, False
        )
        rig.suspects.record_loss(loss)


@behave.when("{count:d} other contents are answered")
def step_answered(context, count):
    context.proofs = earlierproofs.EarlierProofs()
    for number in range(count):
        context.proofs.add(crashevidence.Proof(number, 1, number))


@behave.then("proofs of {count:d} contents are kept")
def step_proofs(context, count):
    assert len(context.proofs) == count, len(context.proofs)


@behave.then("at most {count:d} contents are kept")
def step_bound(context, count):
    assert len(context.crashes.suspects) <= count


@behave.then("{count:d} contents are kept")
def step_kept(context, count):
    kept = len(context.crashes.suspects)
    assert kept == count, kept


@behave.when("{time:d} ms have passed")
def step_pass(context, time):
    context.crashes.now += time
    context.crashes.suspects.prune(context.crashes.now)


@behave.when(
    'two others merge its snapshot, one after losses of its own "{events}"'
)
def step_merge(context, events):
    evidence = context.crashes.suspects.snapshot()
    late, early = _Rig(), _Rig()
    late.play(events)
    late.suspects.merge(evidence)
    early.suspects.merge(evidence)
    early.play(events)
    context.merged = [late, early]


@behave.then(
    'for both requests of "{refused}" are refused, and of "{served}" not'
)
def step_both(context, refused, served):
    for rig in context.merged:
        _check(rig, refused, served)


@behave.then('requests of "{refused}" are refused, and of "{served}" not')
def step_refused(context, refused, served):
    _check(context.crashes, refused, served)


@behave.then('requests of "" are refused, and of "{served}" not')
def step_served(context, served):
    _check(context.crashes, "", served)


@behave.given(
    "{count:d} broken runs at as many starts of {upstreams:d} upstreams, "
    "{apart:d} ms apart"
)
def step_doubts(context, count, upstreams, apart):
    context.doubts = crashdoubts.CrashDoubts()
    context.times = [number * apart for number in range(count)]
    for start, at in enumerate(context.times):
        loss = crashevidence.Loss(7, start, 1, at)
        context.doubts.add(f"u-{start % upstreams}", [loss])


@behave.then("{count:d} starts are doubted")
def step_doubted(context, count):
    assert len(context.doubts) == count, len(context.doubts)


@behave.then(
    "the loss of the newest one is confirmed, and that of the oldest one not"
)
def step_confirmed(context):
    newest = len(context.times) - 1
    assert context.doubts.confirm(newest, context.times[newest])
    assert not context.doubts.confirm(newest, context.times[newest])
    assert not context.doubts.confirm(0, context.times[0])
