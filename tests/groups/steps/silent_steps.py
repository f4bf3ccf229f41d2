"""Steps about VMs and daemons that are silent for a while."""

import errno
import socket
from typing import NamedTuple
from unittest import mock

import behave

from citronvalve.groups import holding
from citronvalve.groups import httpengines
from citronvalve.groups import observation
from citronvalve.groups import vmstatustable
from citronvalve.model import manualclock
from citronvalve.model import missing
from standins import fakeengines
from tests.groups import world

#: The times of the task that polls and of its client, in ms.
_POLL_INTERVAL = 1_000
_MIN_PAUSE = 200
_READ_TIMEOUT = 500

#: Time between two decisions of the leader in ms, so that some are made
#: at each phase of a poll.
_LEAD_INTERVAL = 100

#: Starts of the silence in ms after a poll, and of the daemon's pause before
#: or after that.
_SILENCE_STARTS = range(1, _POLL_INTERVAL, 100)
_PAUSE_STARTS = range(-1_400, 1_500, 200)

_ERROR_BY_NAME = {
    "connection refused": OSError(errno.ECONNREFUSED, "refused"),
    "no route to host": OSError(errno.EHOSTUNREACH, "no route"),
    "network unreachable": OSError(errno.ENETUNREACH, "no network"),
    "too many open files": OSError(errno.EMFILE, "no descriptor"),
    "no local port": OSError(errno.EADDRNOTAVAIL, "no port"),
    "name not resolved": socket.gaierror(socket.EAI_NONAME, "no name"),
    "name not resolved in time": socket.gaierror(socket.EAI_AGAIN, "later"),
    "no answer in time": TimeoutError("timed out"),
}

_SETTLED = 3_000
_WATCHED = 8_000


class _Span(NamedTuple):
    """A span of monotonic ms in which a process does nothing."""

    start: int
    end: int

    def waking(self, at):
        """Return when something due at a time is done."""
        return self.end if self.start <= at < self.end else at


class _SilentEngines(fakeengines.FakeEngines):
    """Engines of which some are silent for a while.

    A read-back takes until the engine goes on, or until its timeout.
    """

    silence = _Span(0, 0)
    silent_addresses = frozenset()

    def read_holdings(self, addresses):
        now = self._time.now()
        wait_by_address = {
            each: self.silence.waking(now) - now
            if each in self.silent_addresses
            else 0
            for each in addresses
        }
        longest = max(wait_by_address.values(), default=0)
        self._time.advance(min(longest, _READ_TIMEOUT))
        return {
            each: self.read_holding(each)
            if wait < _READ_TIMEOUT
            else missing.AnswerLost("no answer in time", each)
            for each, wait in wait_by_address.items()
        }


@behave.when(
    "{who} of the group is silent for {silence:d} ms, at any phase of a poll"
)
def step_silent(context, who, silence):
    context.who = who
    context.silence = silence


@behave.when("the daemon pauses for {pause:d} ms, at any time before or after")
def step_pause(context, pause):
    context.pause = pause


@behave.then("the group's row and the fences of its VMs never change")
def step_unchanged(context):
    cluster = context.world
    cluster.process_by_name.clear()
    process = cluster.start("z", _SilentEngines)
    _watch(cluster, process, 30_000, _Span(0, 0))
    before = _rows_and_fences(cluster)
    changed = []
    pause_starts = _PAUSE_STARTS if context.pause else (0,)
    for silence_start in _SILENCE_STARTS:
        for pause_start in pause_starts:
            _watch_silence(context, process, silence_start, pause_start)
            after = _rows_and_fences(cluster)
            if after != before:
                changed.append((silence_start, pause_start))
                _watch(cluster, process, 60_000, _Span(0, 0))
                before = _rows_and_fences(cluster)
    assert not changed, (len(changed), changed[:5], cluster.log[-4:])


def _watch_silence(context, process, silence_start, pause_start):
    cluster = context.world
    silence_at = cluster.clock.now() + _SETTLED + silence_start
    pause_at = silence_at + pause_start
    process.engines.silence = _Span(silence_at, silence_at + context.silence)
    (group,) = cluster.records().values()
    ranks = range(4) if context.who == "each VM" else [int(context.who[-1])]
    process.engines.silent_addresses = frozenset(
        group.members[rank].address for rank in ranks
    )
    _watch(
        cluster, process, _WATCHED, _Span(pause_at, pause_at + context.pause)
    )


def _watch(cluster, process, duration, pause):
    """Poll and lead as the daemon's tasks do."""
    time = cluster.clock
    until = time.now() + duration
    while time.now() < until:
        started_at = time.now()
        process.leader.poll()
        _sleep_until(time, pause.waking(time.now()))
        poll_at = max(started_at + _POLL_INTERVAL, time.now() + _MIN_PAUSE)
        while time.now() < pause.waking(poll_at):
            process.leader.lead(time.now())
            next_at = min(time.now() + _LEAD_INTERVAL, poll_at)
            _sleep_until(time, pause.waking(next_at))


def _sleep_until(time, at):
    time.advance(max(0, at - time.now()))


def _rows_and_fences(cluster):
    return (
        cluster.stored_rows().record_by_group,
        {
            each.vm: each.holding(cluster.clock.now()).fence
            for each in cluster.engine_by_address.values()
        },
    )


@behave.when("a connection to a VM fails once with {how}")
def step_connection_fails(context, how):
    with mock.patch(
        "urllib3.util.connection.create_connection",
        side_effect=_ERROR_BY_NAME[how],
    ):
        context.read_backs = [httpengines.HttpEngines().read_holding("a0:1")]


@behave.when(
    "two read-backs of a VM in a row time out, noticed {late:d} ms late"
)
def step_noticed_late(context, late):
    time = manualclock.ManualClock()

    def wait(*_args, **_options):
        time.advance(_READ_TIMEOUT + late)
        raise TimeoutError("timed out")

    engines = httpengines.HttpEngines(time_source=time)
    with mock.patch(
        "urllib3.util.connection.create_connection", side_effect=wait
    ):
        context.read_backs = [engines.read_holding("a0:1") for _ in range(2)]


@behave.then("the VM counts as {state}")
def step_counts_as(context, state):
    table = vmstatustable.VmStatusTable(world.TIMINGS)
    table.record_read_back("a0", holding.Holding("a0", "a0.0", 0), 0)
    for number, read_back in enumerate(context.read_backs, 1):
        table.record_read_back("a0", read_back, number * _POLL_INTERVAL)
    status = table.status_by_vm["a0"]
    is_lost = observation.is_lost(status, 3 * _POLL_INTERVAL, world.TIMINGS)
    assert is_lost == (state == "lost"), (context.read_backs, status)
