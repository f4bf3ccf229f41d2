"""Steps about soaks of real processes."""

import pathlib
import random
import signal
import subprocess  # noqa: S404 - the tests start processes
import sys
import tempfile

import behave
import eventlet
from eventlet.green import socket
from eventlet import patcher

from standins import process
from standins import rowstore
from standins.soak import ledger as ledgers
from standins.soak import links
from standins.soak import operator as operators
from standins.soak import relay as relays
from standins.soak import run as runs

_ALWAYS = {
    "what may not repeat runs once",
    "what runs is what was asked",
    "what was said not to run does not",
    "what was said not to run has not",
    "an answer that looks whole is whole",
    "a group that serves is whole",
}

#: Most events of a long stream; it takes 2.4 s.
_LONG = 60

#: Seconds between two rounds in which runners fall silent, from the first to
#: the last of a round, and that each is silent.
_ROUND, _STAGGER, _SILENT = 2.6, 0.5, (1.0, 1.3)

#: Seconds between two crashes of heads.
_CRASHES_APART = 0.9

_DRAW = """
import sys
from standins import process
print(*(process.free_address() for _ in range({count})), flush=True)
sys.stdin.read()
"""

#: Stops this whole process, with all that it plays.
_block = patcher.original("time").sleep

_ASKED = ledgers.Asked("r", False, "/once/a", b"ask", "team-1", "key-1")
_RUN = _ASKED._replace(key="")


@behave.given(
    "a soak of seed {seed:d} for {seconds:d} s with {count:d} daemons"
)
def step_soak(context, seed, seconds, count):
    _make(context, seed, seconds, count)


def _make(context, seed, seconds, count, *longest, callers=12):
    context.chance = random.Random(f"{seed}/silence")
    context.silences = []
    context.soak = runs.Soak(
        seed, seconds, count, callers, _folder(context), *longest
    )


@behave.given(
    "a soak of seed {seed:d} for {seconds:d} s with {count:d} daemons, "
    "{callers:d} callers and no faults"
)
def step_calm_callers(context, seed, seconds, count, callers):
    _make(context, seed, seconds, count, callers=callers)
    context.soak.events = []


def _folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return pathlib.Path(folder.name)


@behave.given(
    "a soak of seed {seed:d} for {seconds:d} s with {count:d} daemons and no "
    "faults"
)
def step_calm(context, seed, seconds, count):
    step_soak(context, seed, seconds, count)
    context.soak.events = []


@behave.given(
    "a soak of long streams of seed {seed:d} for {seconds:d} s with {count:d} "
    "daemons and no faults"
)
def step_long(context, seed, seconds, count):
    _make(context, seed, seconds, count, _LONG)
    context.soak.events = []


def _stop_replicas(context, soak):
    # The soak's own process plays all of them.
    while True:
        eventlet.sleep(1.2)
        _block(0.5)


def _stop_daemons(context, soak):
    fleet = soak.installation.daemons
    while True:
        eventlet.sleep(1.2)
        for daemon in fleet:
            daemon.send(signal.SIGSTOP)
        eventlet.sleep(0.5)
        for daemon in fleet:
            daemon.send(signal.SIGCONT)


def _leave(context, soak):
    made = soak.installation
    eventlet.sleep(4)
    made.operator.set_out("zone-b", True)
    member = made.members("zone-a", "large")[0]
    eventlet.spawn(made.let_leave, member)
    while not member.place.deaf:
        eventlet.sleep(0.01)
    context.worked = member.place.head_works()


def _heads(soak):
    places = [(r, r.place.group) for r in soak.installation.all_runners]
    return [
        (runner, len(held.members))
        for runner, held in places
        if held is not None and not held.rank and held.state == "open"
    ]


def _crash_heads(context, soak, apart=_CRASHES_APART):
    soak.book.trouble("heads crash", True)
    while True:
        eventlet.sleep(apart)
        heads = [runner for runner, _ in _heads(soak)]
        if heads:
            eventlet.spawn(context.chance.choice(heads).end_process)


def _all_runners(soak):
    return [(r, r.service) for r in soak.installation.all_runners]


def _desks(soak):
    every = _all_runners(soak)
    return [(r, kind) for r, kind in every if kind == operators.DESK]


def _silence(find, share):
    def act(context, soak):
        chance = context.chance
        while True:
            eventlet.sleep(_ROUND)
            found = find(soak)
            awake = {kind: chance.randrange(9) for _, kind in found}
            for kind, spared in awake.items():
                alike = [r for r, k in found if k == kind]
                alike.pop(spared % len(alike))
                for runner in alike:
                    if chance.random() < share:
                        eventlet.spawn_after(
                            chance.uniform(0, _STAGGER),
                            _pause,
                            context,
                            runner,
                            chance.uniform(*_SILENT),
                        )

    return act


def _pause(context, runner, seconds):
    # How many streams it writes, None for a plain runner.
    is_plain = runner.service == operators.DESK
    context.silences.append(None if is_plain else runner.place.running)
    runner.pause(seconds)


_DO_BY_WHAT = {
    "a head of a replica crashes each 0.9 s": _crash_heads,
    "all replicas stand still for 0.5 s, again and again": _stop_replicas,
    "all daemons stand still for 0.5 s, again and again": _stop_daemons,
    "a member of the only large replica leaves": _leave,
    "heads of replicas are silent for a second": _silence(_heads, 0.9),
    "any runners are silent for a second": _silence(_all_runners, 0.4),
    "plain runners are silent for a second": _silence(_desks, 0.9),
}


@behave.when("it has run while {what}")
def step_run_while(context, what):
    act = _DO_BY_WHAT[what]
    context.soak.beside = lambda soak: act(context, soak)
    context.soak.run()


@behave.when("it has run alone")
def step_run_alone(context):
    context.soak.run()


@behave.when("it has run beside heads that crash each {apart:g} s")
def step_run_beside_crashes(context, apart):
    other = context.soak.beside

    def act(soak):
        eventlet.spawn(other, soak)
        _crash_heads(context, soak, apart)

    context.soak.beside = act
    context.soak.run()


_CUT_OFF_BY_WHICH = {
    "two daemons": lambda fleet: fleet[:2],
    "one zone": lambda fleet: [d for d in fleet if d.zone == fleet[0].zone],
    "all but one": lambda fleet: fleet[1:],
    "all daemons": lambda fleet: fleet,
}


@behave.given(
    "from {first:d} s to {last:d} s the connections of {which} to all runners "
    "{how}"
)
def step_cut(context, first, last, which, how):
    soak, book = context.soak, context.soak.book
    made = soak.installation
    cut_off = _CUT_OFF_BY_WHICH[which](made.daemons)

    def cut(_):
        eventlet.sleep(first)
        book.trouble("links", True)
        made.links.cut_for(cut_off, links.Cut(how), last - first)
        book.trouble("links", False)
        names = {daemon.name for daemon in cut_off}
        book.look_at_cut(names, first + links.SETTLED)

    context.links_back_at = last
    soak.beside = cut


@behave.then("callers of daemons with and without links were compared")
def step_compared(context):
    looked = context.soak.book.looked_by_promise
    assert looked[ledgers.SERVED_ALIKE] == 1, looked


@behave.then("from {seconds:d} s after the links are back all are served")
def step_back(context, seconds):
    since = context.links_back_at + seconds
    later = [f for f in context.soak.book.firsts if f.at >= since]
    failed = [f for f in later if not f.served]
    assert later and not failed, (len(later), failed)


@behave.then("the head worked when its member listened no more")
def step_worked(context):
    assert context.worked


@behave.given("{runs:d} processes that each draw {count:d} addresses at once")
def step_draw(context, runs, count):
    code = _DRAW.format(count=count)
    drawing = [
        subprocess.Popen(
            [sys.executable, "-c", code],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(runs)
    ]
    # Each keeps its addresses until its input ends.
    lines = [each.stdout.readline() for each in drawing]
    for each in drawing:
        each.communicate()
    context.drawn = [address for line in lines for address in line.split()]
    assert len(context.drawn) == runs * count, lines


@behave.then("no address was drawn twice")
def step_drawn_once(context):
    twice = len(context.drawn) - len(set(context.drawn))
    assert not twice, twice


@behave.given("a soak's process that waits {queued:g} s for a processor")
def step_queued(context, queued):
    context.book = ledgers.Ledger()
    context.queued = queued


@behave.when("a version is written")
def step_written(context):
    book = context.book
    operator = operators.Operator(rowstore.RowStore(), book, random.Random(1))
    eventlet.spawn_after(0.5, book.stood_still, context.queued)
    began = book.now
    operator.wait_in_force()
    context.waited = book.now - began


@behave.then("it must be in force after {seconds:g} s")
def step_in_force(context, seconds):
    assert seconds <= context.waited < seconds + 0.1, context.waited


@behave.given("a relay with {count:d} connections that wait for an answer")
def step_relay(context, count):
    server = eventlet.listen(("127.0.0.1", 0))
    eventlet.spawn(_accept, server)
    context.relay = relays.Relay("127.0.0.1:%d" % server.getsockname()[1])
    context.add_cleanup(context.relay.close)
    host, _, port = context.relay.address.rpartition(":")
    context.waiting = [
        socket.create_connection((host, int(port))) for _ in range(count)
    ]
    eventlet.sleep(0.1)


def _accept(server):
    taken = []
    while True:
        taken.append(server.accept())


@behave.when("they are reset, and a process is started right after")
def step_reset(context):
    context.relay.reset()
    context.process = process.Process(
        "process", ["-c", "pass"], "", _folder(context)
    )


@behave.then("the process has started")
def step_started(context):
    assert context.process.wait() == 0


@behave.when("it has run")
def step_run(context):
    context.soak.run()


@behave.then("no promise was broken")
def step_kept(context):
    soak, broken = context.soak, context.soak.book.broken
    told = [line for each in broken[:5] for line in soak.story(each)]
    stalls = [str(stall) for stall in soak.pulse.stalls]
    assert not broken, "\n".join([*told, *stalls])


@behave.then(
    "at least {count:d} runners fell silent, {busy:d} of them as they wrote "
    "streams"
)
def step_silences(context, count, busy):
    writing = [running for running in context.silences if running]
    assert len(context.silences) >= count, context.silences
    assert len(writing) >= busy, context.silences


@behave.then("each request that was cut is named by its daemon")
def step_named(context):
    soak = context.soak
    output_by_name = {d.name: d.output() for d in soak.installation.daemons}
    unnamed = [
        cut
        for cut in soak.book.cuts
        if not _is_named(cut.id, output_by_name[cut.daemon])
    ]
    assert not unnamed, unnamed


@behave.then("no member was told to leave a head that serves")
def step_whole(context):
    torn = context.soak.book.torn
    assert not torn, torn


def _is_named(request, output):
    own = [line for line in output.splitlines() if request in line]
    ended = [line for line in own if '"event":"request ended"' in line]
    return any('"outcome":"broken"' in line for line in ended)


@behave.then("each promise that holds always was looked at")
def step_looked(context):
    looked = context.soak.book.looked_by_promise
    assert not _ALWAYS - looked.keys(), looked


@behave.given("a ledger with a request that may run once")
def step_ledger(context):
    context.book = ledgers.Ledger()
    context.book.ask(_ASKED)


def _refuse_and_run(book):
    book.refused(_ASKED.id, 503)
    book.ran(_RUN, "m0")


def _run_twice(book):
    book.ran(_RUN, "m0")
    book.ran(_RUN, "m1")


def _run_and_refuse(book):
    book.ran(_RUN, "m0")
    book.refused(_ASKED.id, 503)


_DO_BY_MISTAKE = {
    "another team": lambda book: book.ran(_RUN._replace(team="t"), "m0"),
    "another body": lambda book: book.ran(_RUN._replace(body=b""), "m0"),
    "the caller's key": lambda book: book.ran(_ASKED, "m0"),
    "an unknown id": lambda book: book.ran(_RUN._replace(id="s"), "m0"),
    "an earlier run": _run_twice,
    "an earlier 503": _refuse_and_run,
    "a later 503": _run_and_refuse,
}


@behave.when("a runner runs it with {mistake}")
def step_mistake(context, mistake):
    _DO_BY_MISTAKE[mistake](context.book)


@behave.then('the promise "{promise}" is broken')
def step_broken(context, promise):
    found = {broken.promise for broken in context.book.broken}
    assert found == {promise}, found
