"""Steps about waiting for an upstream's answer."""

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

#: How late a timer fires on a daemon that runs.
_LATE = 3


class _Clock(clock.Clock):
    """Moves only when it is told to."""

    def __init__(self):
        self.ms = 1_000_000

    def now(self):
        return self.ms

    def wall(self):
        return self.ms


class _Link:
    """An upstream that writes at some time, read by a daemon that may pause.

    ``pauses`` are the ms by which each read is held up, as long as it lasts.
    """

    def __init__(self, time, writes_at, pauses):
        self._clock = time
        self._writes_at = writes_at
        self._pauses = list(pauses)

    def next_event(self, until):
        """Return what came by ``until``, or tell that nothing did."""
        pause = self._pauses.pop(0) if self._pauses else 0
        if pause:
            # The timer fell due in the pause, and is served before sockets.
            self._clock.ms += pause
            raise self._silent()
        if self._writes_at <= until:
            self._clock.ms = max(self._clock.ms, self._writes_at)
            return _PART
        self._clock.ms = until + _LATE
        raise self._silent()

    def _silent(self):
        trouble = exchangeerror.ExchangeFailure.SILENT
        return exchangeerror.ExchangeError(trouble, "no data arrived in time")


class _Means:
    """What a try that waits is given of the daemon's parts."""

    def __init__(self):
        self.env = environments.Environment(
            "daemon-1",
            "zone-0",
            _Clock(),
            random.Random(1),
            rigs.Lines(),
            headernames.HeaderNames(),
        )
        self.loads = upstreamchoice.LoadTable()
        self.stall_detector = stalldetector.StallDetector(self.env, self.loads)


class _Demand:
    """A request for a stream that has a minute left."""

    service = service.Service("engine", "/", 99, engine=world.spec())

    def __init__(self, now):
        self.deadline = now + clock.MINUTE


@behave.given("a try at a replica, and another replica that has room")
def step_try(context):
    context.means = _Means()
    time = context.means.env.clock
    demand: routedrequest.RoutedRequest = _Demand(time.now())
    placed = upstreamchoice.Chosen(
        "head-1", enginepace.Forecast(100.0, 40.0, 2_000.0)
    )
    context.means.stall_detector.record_activity("head-1")
    context.patience = responsereader.ResponseReader(
        context.means, demand, placed, lambda: True
    )


_WAIT_BY_WHAT = {
    "it waits for the first event": responsereader.ResponseReader.next_part,
    "it waits for the next event": (
        responsereader.ResponseReader.next_stream_part
    ),
}


def _wait(context, what, link):
    try:
        context.got = _WAIT_BY_WHAT[what](context.patience, link)
    except exchangeerror.ExchangeError as error:
        context.got = error


@behave.when("the daemon stands still for {seconds:g} s while {what}")
def step_pause(context, seconds, what):
    time = context.means.env.clock
    pause = round(seconds * 1_000)
    link = _Link(time, time.now() + 40, [pause])
    _wait(context, what, link)


@behave.when("nothing comes for {seconds:g} s while {what}")
def step_nothing(context, seconds, what):
    time = context.means.env.clock
    link = _Link(time, time.now() + round(seconds * 1_000), [])
    _wait(context, what, link)


def _told(context):
    return [what for what, _ in context.means.env.log.lines]


def _standing(context):
    return "upstream stands still" in _told(context)


@behave.then("the daemon tells of its pause")
def step_tells(context):
    assert "daemon stood still" in _told(context), _told(context)


@behave.then("the try has its part, and no replica stands still")
def step_part(context):
    assert context.got is _PART, context.got
    assert not _standing(context), context.means.env.log.lines


@behave.then("the try is given up, and the replica stands still")
def step_given_up(context):
    assert isinstance(context.got, exchangeerror.ExchangeError), context.got
    assert _standing(context)
