"""Steps about waiting for an upstream's response."""

import random

import behave
import h11

from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.forward import headernames
from citronvalve.forward import responsereader
from citronvalve.forward import routedrequest
from citronvalve.forward import stalldetector
from citronvalve.model import clock
from citronvalve.policy import enginepace
from citronvalve.policy import upstreamchoice
from citronvalve.routes import service
from tests.forward import rig as rigs
from tests.replicas import world

_PART = h11.Data(b"id: 4\ndata: piece 4\n\n")

#: Delay in ms with which a timer fires on a running daemon.
_TIMER_DELAY = 3


class _Clock(clock.Clock):
    """A clock that the steps advance."""

    def __init__(self):
        self.ms = 1_000_000

    def now(self):
        return self.ms

    def wall(self):
        return self.ms


class _Connection:
    """A connection to an upstream that sends once, at a daemon that may pause.

    ``pauses`` are the ms by which the first reads are delayed.
    """

    relay = ""

    def __init__(self, time, sends_at, pauses):
        self._clock = time
        self._sends_at = sends_at
        self._pauses = list(pauses)

    def next_event(self, until):
        """Return what arrived by ``until``, or raise that nothing did."""
        pause = self._pauses.pop(0) if self._pauses else 0
        if pause:
            # The timer is due after the pause, and served before sockets.
            self._clock.ms += pause
            raise self._silent()
        if self._sends_at <= until:
            self._clock.ms = max(self._clock.ms, self._sends_at)
            return _PART
        self._clock.ms = until + _TIMER_DELAY
        raise self._silent()

    def _silent(self):
        failure = exchangeerror.ExchangeFailure.SILENT
        return exchangeerror.ExchangeError(failure, "no data arrived in time")


class _Dependencies:
    """The components of a daemon that a waiting attempt uses."""

    def __init__(self):
        self.env = environments.Environment(
            "daemon-1",
            "zone-0",
            _Clock(),
            random.Random(1),
            rigs.RecordingLog(),
            headernames.HeaderNames(),
        )
        self.loads = upstreamchoice.LoadTable()
        self.stall_detector = stalldetector.StallDetector(self.env, self.loads)


class _RoutedRequest:
    """A request for a stream with a minute until its deadline."""

    service = service.Service("engine", "/", 99, engine=world.spec())

    def __init__(self, now):
        self.deadline = now + clock.MINUTE


@behave.given("an attempt at a replica, and another replica with a free slot")
def step_attempt(context):
    context.deps = _Dependencies()
    time = context.deps.env.clock
    routed: routedrequest.RoutedRequest = _RoutedRequest(time.now())
    chosen = upstreamchoice.Chosen(
        "head-1", enginepace.Forecast(100.0, 40.0, 2_000.0)
    )
    context.deps.stall_detector.record_activity("head-1")
    context.reader = responsereader.ResponseReader(
        context.deps, routed, chosen, lambda: True
    )


_WAIT_BY_WHAT = {
    "it waits for the first event": responsereader.ResponseReader.next_part,
    "it waits for the next event": (
        responsereader.ResponseReader.next_stream_part
    ),
}


def _wait(context, what, connection):
    try:
        context.got = _WAIT_BY_WHAT[what](context.reader, connection)
    except exchangeerror.ExchangeError as error:
        context.got = error


@behave.when("the daemon pauses for {seconds:g} s while {what}")
def step_pause(context, seconds, what):
    time = context.deps.env.clock
    pause = round(seconds * 1_000)
    connection = _Connection(time, time.now() + 40, [pause])
    _wait(context, what, connection)


@behave.when("nothing arrives for {seconds:g} s while {what}")
def step_nothing(context, seconds, what):
    time = context.deps.env.clock
    connection = _Connection(time, time.now() + round(seconds * 1_000), [])
    _wait(context, what, connection)


def _logged_events(context):
    return [what for what, _ in context.deps.env.log.lines]


def _is_stall_logged(context):
    return "upstream stands still" in _logged_events(context)


@behave.then("the daemon logs its pause")
def step_pause_logged(context):
    assert "daemon stood still" in _logged_events(context), _logged_events(
        context
    )


@behave.then("the attempt has its part, and no replica is stalled")
def step_part(context):
    assert context.got is _PART, context.got
    assert not _is_stall_logged(context), context.deps.env.log.lines


@behave.then("the attempt is given up, and the replica is stalled")
def step_given_up(context):
    assert isinstance(context.got, exchangeerror.ExchangeError), context.got
    assert _is_stall_logged(context)
