"""Steps about what operators see of requests sent to other data centres."""

import random
import re

import behave

from citronvalve.daemon import entrydaemon
from citronvalve.daemon import entrysettings
from citronvalve.daemon import excessreport
from citronvalve.daemon import platforminterface
from citronvalve.forward import environment
from citronvalve.forward import headernames
from citronvalve.forward import placement
from citronvalve.model import decisionlog
from citronvalve.model import manualclock
from citronvalve.model import missing
from citronvalve.policy import retrybudget
from standins import memorytable

_ANY_PORT = "127.0.0.1:0"


class _Log(decisionlog.DecisionLog):
    """Records the lines."""

    def __init__(self):
        self.lines = []

    def note(self, event, request="", **inputs):
        self.lines.append((event, inputs))

    def change(self, event, **inputs):
        self.lines.append((event, inputs))


@behave.given("a daemon that reports its excess each second")
def step_report(context):
    context.log = _Log()
    context.clock = manualclock.ManualClock()
    context.env = environment.Environment(
        "daemon-1",
        "a",
        context.clock,
        random.Random(1),
        context.log,
        headernames.HeaderNames(),
    )
    context.report = excessreport.ExcessReport(context.env)


@behave.when('it sends {rate:d} requests a second to "{to}" for {seconds:d} s')
def step_send(context, rate, to, seconds):
    for _ in range(seconds):
        for _ in range(rate):
            context.report.record(to)
        context.report.update()
        context.clock.advance(1_000)


@behave.then('the log tells of {a:d}, {b:d} and {c:d} requests to "{to}"')
def step_log(context, a, b, c, to):
    expected = [
        ("excess sent", {"to": to, "requests": count}) for count in (a, b, c)
    ]
    assert context.log.lines == expected, context.log.lines


@behave.then('the metrics tell of {count:d} requests to "{to}"')
def step_metrics(context, count, to):
    text = context.env.metrics.render().decode()
    found = re.findall(r'excess_total\{datacentre="(\w+)"\} (\d+)', text)
    assert found == [(to, str(count))], text


def _settings(features):
    return entrysettings.EntrySettings(
        "daemon-1",
        "a",
        _ANY_PORT,
        _ANY_PORT,
        _ANY_PORT,
        retrybudget.RetryLimits(0.2, 100, 10_000),
        placement.ColdLimits(),
        grace=5_000,
        stall=1_000,
        first_start=False,
        features=features,
    )


@behave.when("a daemon with {names} is made")
def step_make(context, names):
    chosen = () if names == "no features" else names.split(", ")
    features = entrysettings.Features(**dict.fromkeys(chosen, True))
    settings = _settings(features)
    store = memorytable.MemoryTable()
    platform = platforminterface.PlatformInterface(
        lambda: store,
        "list",
        "operators",
        lambda row: None,
        lambda row: missing.NotFound("no catalogue", row.key),
        lambda key: None,
        "catalogue",
        None,
        headernames.HeaderNames(),
        "/readyz",
        lambda: settings,
    )
    context.set_choices = []
    original = placement.Placement.set_choice
    placement.Placement.set_choice = lambda self, choice: (
        context.set_choices.append(type(choice).__name__)
    )
    try:
        entrydaemon.EntryDaemon(settings, platform)
    finally:
        placement.Placement.set_choice = original


@behave.then("its choice of upstreams is {name}")
def step_choice(context, name):
    found = [*context.set_choices, "UpstreamChoice"][0]
    assert found == name, context.set_choices
