"""Steps about the contents that are accused of a crash."""

import behave
import eventlet

from citronvalve.forward import callerrequest
from citronvalve.forward import crashdigests
from citronvalve.forward import exchangeerror
from citronvalve.policy import crashevidence

_PARTS_BY_WHICH = {
    "the parts F, P and one of its own": "F:10,P:20,own:5",
    "the part P and one of its own": "P:20,own:5",
    "the part F and one of its own": "F:10,own:5",
    "P as its own part": "F:10,P:20",
    "no parts": "",
}

_SECONDS_BY_WHEN = {"at once": 0.0, "1 s later": 1.1}


def _ask(rig, parts, key="secret"):
    head = "X-Model: large\r\nX-Tokens: 100,60\r\n"
    if parts:
        head += f"X-Prompt-Parts: {parts}\r\n"
    return rig.send("/stream/a", head, body=b"prompt", key=key)


@behave.given("a caller asks for a stream with {which}")
@behave.when("a caller asks for a stream with {which}")
def step_ask(context, which):
    context.losses = []
    context.rig.crash_detector.on_crash = context.losses.extend
    context.got = _ask(context.rig, _PARTS_BY_WHICH[which])
    # One that was tried in vain may be looked at later.
    eventlet.sleep(0.3)


@behave.then(
    "{contents:d} contents are accused of the loss of {upstreams:d} upstreams"
)
def step_accused(context, contents, upstreams):
    starts_by_content = {}
    for loss in context.losses:
        starts_by_content.setdefault(loss.content, set()).add(loss.start)
    found = [len(starts) for starts in starts_by_content.values()]
    assert found == [upstreams] * contents, (found, context.got)


@behave.given(
    "{count:d} upstreams were lost with the parts F and P, of which F was "
    "answered since"
)
def step_lost(context, count):
    detector = context.rig.crash_detector
    now = context.rig.env.clock.now()
    digests = [crashdigests.part("engine", part) for part in (b"F", b"P")]
    model = crashdigests.model("large")
    for start in range(count):
        for digest in digests:
            detector.suspects.record_loss(
                crashevidence.Loss(digest, start, model, now - 100 * start)
            )
    detector.suspects.record_proof(crashevidence.Proof(digests[0], model, now))


@behave.when(
    "{count:d} upstreams are lost with P, and {shared:d} of them with one "
    "other request"
)
def step_lost_beside(context, count, shared):
    detector = context.rig.crash_detector
    now = context.rig.env.clock.now()
    part, model = (
        crashdigests.part("engine", b"P"),
        crashdigests.model("large"),
    )
    losses = [
        crashevidence.Loss(content, start, model, now + 100 * start)
        for content, number in ((part, count), (7, shared))
        for start in range(number)
    ]
    for loss in losses:
        detector.suspects.record_loss(loss)


@behave.when(
    "the daemon may try fenced contents and {when}, a caller asks for a "
    "stream with P"
)
def step_try(context, when):
    context.rig.crash_detector.may_try = lambda: True
    eventlet.sleep(_SECONDS_BY_WHEN[when])
    context.got = _ask(context.rig, "P:20,own:5")


@behave.then("the next request with P gets {status:d}")
def step_next(context, status):
    got = _ask(context.rig, "P:20,own:5")
    assert got.startswith(b"HTTP/1.1 %d" % status), got


_EVENT_BY_FOUND = {"lost": "upstream lost with a request"}


@behave.then(
    "the log and the metrics say of {runs:d} broken runs that their upstream "
    'was found "{found}"'
)
def step_found(context, runs, found):
    event = _EVENT_BY_FOUND.get(found, "broken run not counted")
    lines = [
        line
        for kind, line in context.rig.log.lines
        if kind == event and line.get("found", found) == found
    ]
    assert len(lines) == runs, context.rig.log.lines
    assert all(line["team"] == "team-1" for line in lines), lines
    counted = f'crash_checks_total{{found="{found}"}} {runs}'
    assert counted in context.rig.env.metrics.render().decode()


@behave.given(
    "{count:d} upstreams were lost with the request and as often with another "
    "one"
)
def step_lost_whole(context, count):
    rig = context.rig
    detector, now = rig.crash_detector, rig.env.clock.now()
    whole = crashdigests.whole(
        callerrequest.CallerRequest(b"POST", b"/stream/a", [], b"prompt", now),
        "team-1",
    )
    model = crashdigests.model("large")
    for start in range(count):
        for digest in (whole, 7):
            loss = crashevidence.Loss(digest, start, model, now - 100 * start)
            detector.suspects.record_loss(loss)


_KEY_BY_WHICH = {
    "the same key": "secret",
    "another key of its team": "second",
    "the key of another team": "other",
}


@behave.given("a request crashed both, and a third upstream was lost with it")
def step_crashed(context):
    step_ask(context, "no parts")
    detector = context.rig.crash_detector
    detector.suspects.record_loss(context.losses[0]._replace(start=99))


@behave.when("it comes again with {which}")
def step_other_key(context, which):
    context.got = _ask(context.rig, "", _KEY_BY_WHICH[which])


@behave.then("it {does} refused for crashes")
def step_refused(context, does):
    reasons = [
        line["why"]
        for kind, line in context.rig.log.lines
        if kind == "refused"
    ]
    is_refused = "lost while running this request" in reasons[-1]
    assert is_refused == (does == "is"), reasons


_FAILURE_BY_FOUND = {
    "no link": exchangeerror.ExchangeFailure.NO_LINK,
    "resting": exchangeerror.ExchangeFailure.RESTING,
}


@behave.given("a daemon whose upstreams are found {found} after a run broke")
def step_not_found_lost(context, found):
    failure = _FAILURE_BY_FOUND.get(found)

    def check(_):
        if failure is not None:
            raise exchangeerror.ExchangeError(failure, found)

    context.rig.pool.check_listening = check


def _report(rig, before=0):
    """Record that another daemon lost both upstreams, with another request."""
    now, model = rig.env.clock.now(), crashdigests.model("large")
    starts = [crashdigests.start(name, 0) for name in rig.runners]
    losses = [
        crashevidence.Loss(77, start, model, now - before) for start in starts
    ]
    rig.crash_detector.merge(crashevidence.Evidence(tuple(losses)))


def _list(rig, start_id):
    for name in rig.runners:
        rig.crash_detector.record_restart(name, start_id)


def _drop(rig, after=0.0):
    eventlet.sleep(after)
    for name in rig.runners:
        rig.crash_detector.record_gone(name)


_BEFORE_BY_PROOF = {"another daemon has reported the loss of both": _report}
_AFTER_BY_PROOF = {
    "another daemon then reports the loss of both": _report,
    "another daemon then reports a loss of 2 s before": (
        lambda rig: _report(rig, 2_000)
    ),
    "the list then shows a later start of both": lambda rig: _list(rig, 5),
    "the list then shows the same start of both": lambda rig: _list(rig, 0),
    "the list then shows neither of them": _drop,
    "the list shows neither of them 6 s later": lambda rig: _drop(rig, 6),
}


@behave.when(
    "{proof}, as a caller asks for a stream with the parts F, P and one of "
    "its own"
)
def step_proof(context, proof):
    rig = context.rig
    _BEFORE_BY_PROOF.get(proof, lambda _: None)(rig)
    step_ask(context, "the parts F, P and one of its own")
    _AFTER_BY_PROOF.get(proof, lambda _: None)(rig)


@behave.then("the log says that {count:d} losses of it were explained")
def step_explained(context, count):
    lines = [
        line
        for kind, line in context.rig.log.lines
        if kind == "accused request let pass"
    ]
    assert [line["losses"] - line["unexplained"] for line in lines] == [count]
