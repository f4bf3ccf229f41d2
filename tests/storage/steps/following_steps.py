"""Steps for which daemons call the platform, on a manual clock."""

import behave

from citronvalve.model import manualclock
from citronvalve.storage import rows
from citronvalve.storage import tablelistener
from citronvalve.storage import tail
from standins import memorytable
from tests import quietlog

_TICK = 10
_TAKEOVER_DURATION = 4_000

#: Stands for a full read, which does not wait.
_FULL_READ = -1


class _RecordingTable(memorytable.MemoryTable):
    """Records the maximum wait of each call."""

    def __init__(self):
        super().__init__()
        self.waits = []

    def scan(self, table, after=0):
        if not after:
            self.waits.append(_FULL_READ)
        return super().scan(table, after)

    def follow(self, table, after, wait):
        self.waits.append(wait)
        return rows.Scan(after, ())


class _NullListener(tablelistener.TableListener):
    def replace_all(self, found):
        """Ignore the rows."""

    def apply_changes(self, found, gone):
        """Ignore the changes."""


def _confirm(context, **changes):
    state = context.tail.state()._replace(age=0, **changes)
    context.tail.confirm(state, "another")


def _follow(context, is_reader):
    context.clock = manualclock.ManualClock()
    context.clock.advance(100_000)
    context.service = _RecordingTable()
    write = rows.Write("t", "k", {"n": 1})
    context.service.commit(rows.Transaction("a", (), (write,)))
    _make_tail(context, is_reader)
    context.oldest = 0
    context.tail.step()
    context.service.waits.clear()


def _make_tail(context, is_reader):
    context.tail = tail.Tail(
        context.service,
        "t",
        _NullListener(),
        quietlog.QuietLog(),
        context.clock,
        lambda _: None,
    )
    context.tail.is_reader = lambda: is_reader


@behave.given("a daemon that follows a table and is no reader for others")
def step_follow(context):
    _follow(context, False)


@behave.given(
    "a daemon that follows a table by another daemon's confirmations"
)
def step_follow_confirmed(context):
    _follow(context, False)
    _confirm(context)


def _run(context, duration, confirm_interval=0):
    started_at = context.clock.now()
    next_step_at = started_at
    while context.clock.now() < started_at + duration:
        context.clock.advance(_TICK)
        now = context.clock.now()
        if confirm_interval and not (now - started_at) % confirm_interval:
            _confirm(context)
        if now >= next_step_at:
            next_step_at = now + context.tail.step()
        age = now - context.tail.confirmed_at
        context.oldest = max(context.oldest, age)


@behave.when("it takes the lead and reads up to its lease")
def step_take_lead(context):
    context.tail.is_reader = lambda: True
    revision = context.tail.revision
    assert context.tail.read_up_to(revision, context.service)
    context.service.waits.clear()


@behave.then("its next call begins within {span:d} ms")
def step_next_call(context, span):
    _run(context, span)
    assert context.service.waits


@behave.when("{seconds:d} s pass without a confirmation")
def step_no_confirmation(context, seconds):
    _run(context, seconds * 1_000)


@behave.when("{seconds:d} s pass with a confirmation every second")
def step_confirm_every_second(context, seconds):
    _run(context, seconds * 1_000, 1_000)


@behave.when("{seconds:d} s pass with a confirmation every {interval:d} ms")
def step_confirm_every(context, seconds, interval):
    _run(context, seconds * 1_000, interval)


@behave.when("the confirmations stop and it becomes the reader for others")
def step_take_over(context):
    context.tail.is_reader = lambda: True
    _run(context, _TAKEOVER_DURATION)


@behave.then("it has made at most {most:d} calls")
def step_calls_at_most(context, most):
    assert len(context.service.waits) <= most, context.service.waits


@behave.then("no confirmation in use was older than {most:d} ms")
def step_confirmation_age(context, most):
    assert context.oldest <= most, context.oldest


@behave.then("its first call does not wait, and the following ones do")
def step_first_call(context):
    first, *rest = context.service.waits
    assert first in (0, _FULL_READ), context.service.waits
    assert rest and all(rest), context.service.waits
    assert rest.count(_FULL_READ) <= _TAKEOVER_DURATION // 1_600, (
        context.service.waits
    )


@behave.when("for {seconds:d} s a higher counter is confirmed every second")
def step_counter_rises(context, seconds):
    for turn in range(seconds):
        read = context.tail.revision + 1 + turn
        _confirm(context, revision=read)
        _run(context, 1_000)


@behave.when("a confirmation names a change that did not arrive, {digest}")
def step_lost_update(context, digest):
    newer = context.tail.revision + 5
    others = context.tail.state().digest ^ 1
    _confirm(
        context,
        changed_revision=newer,
        revision=newer,
        digest=others if digest == "another digest" else None,
    )
    _run(context, 500)


@behave.when("a confirmation names a later change and the same rows")
def step_same_rows(context):
    newer = context.tail.revision + 5
    _confirm(context, changed_revision=newer, revision=newer)
    _run(context, 500)


@behave.when(
    "it becomes the reader for others {span:d} ms after the last confirmation"
)
def step_become_reader(context, span):
    _run(context, span)
    context.service.waits.clear()
    context.tail.is_reader = lambda: True
    context.became_at = context.clock.now()
    while not context.service.waits:
        _run(context, _TICK)


@behave.then("its first call does not wait")
def step_no_wait(context):
    assert context.service.waits[0] in (0, _FULL_READ), context.service.waits


@behave.then("that call begins within {span:d} ms")
def step_begins_within(context, span):
    assert context.clock.now() - context.became_at <= span


@behave.given(
    "a daemon that starts and expects the rows from others for {span:d} ms"
)
def step_starts(context, span):
    _follow(context, False)
    context.rows = context.tail.all_rows()
    context.state = context.tail.state()
    _make_tail(context, False)
    context.tail.peers_until = context.clock.now() + span


@behave.when("another daemon sends them after {span:d} ms and confirms them")
def step_sent(context, span):
    _run(context, span)
    context.tail.adopt(context.state._replace(age=0), context.rows, "other")
    context.oldest = 0
    _run(context, 600)
    _confirm(context)


@behave.when("{span:d} ms pass without any message")
def step_silence(context, span):
    _run(context, span)


@behave.then("it knows the rows")
def step_knows(context):
    assert context.tail.all_rows() == context.rows


@behave.then("it has made at least {least:d} calls")
def step_calls_at_least(context, least):
    assert len(context.service.waits) >= least, context.service.waits
