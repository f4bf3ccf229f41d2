"""Steps about who reads the platform, on a clock that is set by hand."""

import behave

from citronvalve.model import manualclock
from citronvalve.storage import rows
from citronvalve.storage import tablelistener
from citronvalve.storage import tail
from standins import memorytable
from tests import quietlog

_STEP = 10
_TAKEN_OVER = 4_000

#: Stands for a reading of the whole table, which does not wait.
_WHOLE = -1


class _Counting(memorytable.MemoryTable):
    """Remembers how long each call was ready to wait."""

    def __init__(self):
        super().__init__()
        self.waits = []

    def scan(self, table, after=0):
        if not after:
            self.waits.append(_WHOLE)
        return super().scan(table, after)

    def follow(self, table, after, wait):
        self.waits.append(wait)
        return rows.Scan(after, ())


class _Ignoring(tablelistener.TableListener):
    def replace_all(self, found):
        """Take all rows."""

    def apply_changes(self, found, gone):
        """Take changes."""


def _vouch(context, **other):
    told = context.tail.state()._replace(age=0, **other)
    context.tail.confirm(told, "another")


def _follow(context, reads):
    context.clock = manualclock.ManualClock()
    context.clock.advance(100_000)
    context.service = _Counting()
    write = rows.Write("t", "k", {"n": 1})
    context.service.commit(rows.Transaction("a", (), (write,)))
    context.tail = tail.Tail(
        context.service,
        "t",
        _Ignoring(),
        quietlog.QuietLog(),
        context.clock,
        lambda _: None,
    )
    context.tail.is_reader = lambda: reads
    context.oldest = 0
    context.tail.step()
    context.service.waits.clear()


@behave.given("a daemon that follows a table and that nobody goes by")
def step_follow(context):
    _follow(context, False)


@behave.given("a daemon that follows a table by another's word")
def step_by_word(context):
    _follow(context, False)
    _vouch(context)


def _run(context, span, each=0):
    began = context.clock.now()
    idle_until = began
    while context.clock.now() < began + span:
        context.clock.advance(_STEP)
        now = context.clock.now()
        if each and not (now - began) % each:
            _vouch(context)
        if now >= idle_until:
            idle_until = now + context.tail.step()
        age = now - context.tail.confirmed_at
        context.oldest = max(context.oldest, age)


@behave.when("{seconds:d} s pass without a word")
def step_alone(context, seconds):
    _run(context, seconds * 1_000)


@behave.when("{seconds:d} s pass with a word each second")
def step_word(context, seconds):
    _run(context, seconds * 1_000, 1_000)


@behave.when("{seconds:d} s pass with a word each {span:d} ms")
def step_word_each(context, seconds, span):
    _run(context, seconds * 1_000, span)


@behave.when("that word stops and others go by this one")
def step_takes_over(context):
    context.tail.is_reader = lambda: True
    _run(context, _TAKEN_OVER)


@behave.then("it has asked {most:d} times at most")
def step_asked(context, most):
    assert len(context.service.waits) <= most, context.service.waits


@behave.then("no reading it went by was older than {most:d} ms")
def step_age(context, most):
    assert context.oldest <= most, context.oldest


@behave.then("its first call does not wait, and the following ones do")
def step_first(context):
    first, *rest = context.service.waits
    assert first in (0, _WHOLE), context.service.waits
    assert rest and all(rest), context.service.waits
    assert rest.count(_WHOLE) <= _TAKEN_OVER // 1_600, context.service.waits


@behave.when("for {seconds:d} s each second a counter is told that rises")
def step_rises(context, seconds):
    for turn in range(seconds):
        read = context.tail.revision + 1 + turn
        _vouch(context, revision=read)
        _run(context, 1_000)


@behave.when("a word tells of a change that did not arrive")
def step_missed(context):
    newer = context.tail.revision + 5
    _vouch(context, changed_revision=newer, revision=newer)
    _run(context, 500)


@behave.then("it has asked {least:d} times at least")
def step_asked_least(context, least):
    assert len(context.service.waits) >= least, context.service.waits
