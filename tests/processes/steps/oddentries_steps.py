"""Steps about an odd entry among those of the runners."""

import json

import behave
import eventlet

from standins.soak import oddentries

#: Seconds at which a runner leaves the list and is back, and at which a daemon
#: is killed and starts again.
_LEAVES, _BACK = 8.0, 10.5
_KILLED, _STARTS = 12.0, 12.3

#: Requests that are compared at least, and the least part of the usual share
#: that is served.
_COMPARED, _ALIKE = 20, 0.95


@behave.given(
    "from {first:d} s on an entry among the runners' is {odd}, while a runner "
    "and a daemon leave and return"
)
def step_odd(context, first, odd):
    context.soak.beside = lambda soak: _play(soak, first, odd)


def _play(soak, first, odd):
    made, book = soak.installation, soak.book
    eventlet.sleep(first)
    oddentries.BY_NAME[odd].put(made.store)
    _sleep_until(book, _LEAVES)
    desk = next(r for r in made.all_runners if r.service == "desk")
    desk.unlist()
    _sleep_until(book, _BACK)
    desk.listed = True
    desk.tell()
    _sleep_until(book, _KILLED)
    book.trouble("a daemon is killed", True)
    made.daemons[0].kill()
    _sleep_until(book, _STARTS)
    made.daemons[0].start()
    book.trouble("a daemon is killed", False)


def _sleep_until(book, at):
    eventlet.sleep(max(0.0, at - book.now))


@behave.then(
    "from {since:d} s on requests are served as often as before {until:d} s"
)
def step_served(context, since, until):
    firsts = context.soak.book.firsts
    before = [first for first in firsts if first.at < until]
    after = [first for first in firsts if first.at >= since]
    assert min(len(before), len(after)) >= _COMPARED, (len(before), len(after))
    usual = sum(first.served for first in before) / len(before)
    served = sum(first.served for first in after)
    assert served >= _ALIKE * usual * len(after), (
        f"served {served} of {len(after)}, {usual:.2f} of {len(before)} "
        f"before; {[f.detail for f in after if not f.served][:4]}"
    )


@behave.then("each daemon has logged the entry once")
def step_logged(context):
    for daemon in context.soak.installation.daemons:
        lines = [
            line
            for line in map(_parse, daemon.output().splitlines())
            if line.get("event") == "entry left out"
        ]
        starts = daemon.output().count('"event":"started"')
        assert len(lines) == starts, (daemon.name, starts, lines)
        assert all(line["key"] == oddentries.KEY for line in lines), lines


def _parse(line):
    try:
        return json.loads(line)
    except ValueError:
        return {}
