"""Steps for routes, API keys and versions of the catalogue."""

import collections
import random

import behave

from citronvalve.forward import admission
from citronvalve.forward import callerrequest
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.model import manualclock
from citronvalve.routes import catalogue
from citronvalve.routes import keyholder
from citronvalve.routes import kind
from citronvalve.routes import route
from citronvalve.routes import share
from tests import quietlog


def _route(name, host, prefix, shares=(share.Share("s", 1.0),)):
    return route.Route(
        name,
        host,
        prefix,
        kind.RequestKind.IDEMPOTENT,
        tuple(shares),
        1_000,
        100,
    )


def _catalogue(routes, version=1, keys=()):
    return catalogue.Catalogue(
        version,
        {(r.host, r.prefix): r for r in routes},
        {},
        {key: keyholder.KeyHolder("team") for key in keys},
    )


@behave.given(
    "routes for /a/, /a/b/ and /c/ of h.example and /a/ of g.example"
)
def step_routes(context):
    context.catalogue = _catalogue(
        [
            _route("h-a", "h.example", "/a/"),
            _route("h-ab", "h.example", "/a/b/"),
            _route("h-c", "h.example", "/c/"),
            _route("g-a", "g.example", "/a/"),
        ]
    )


@behave.when("a request for {path} of {host} arrives")
def step_request(context, path, host):
    context.found = context.catalogue.find_route(host, path)


@behave.then("its route is {name}")
def step_route(context, name):
    found = context.found.name if context.found else "none"
    assert found == name, found


@behave.given("a directory with version 7 that has a key")
def step_directory(context):
    context.directory = directories.Directory("z")
    assert context.directory.adopt(_catalogue([], 7, ["k"]))


@behave.when("version 5 without the key arrives")
def step_older_version(context):
    assert not context.directory.adopt(_catalogue([], 5))


@behave.then("version 7 is in force, with the key")
def step_in_force(context):
    assert context.directory.catalogue.version == 7
    assert "k" in context.directory.catalogue.holder_by_key


@behave.given("a route split 90 to 10 to 0")
def step_split(context):
    parts = [
        share.Share(name, weight)
        for name, weight in (("a", 90), ("b", 10), ("c", 0))
    ]
    context.route = _route("r", "h", "/", parts)


@behave.when("{count:d} requests are sent")
def step_send(context, count):
    rng = random.Random(5)
    context.count = count
    context.picked = collections.Counter(
        context.route.pick_service(rng) for _ in range(count)
    )


@behave.then("the shares are within 3 in 100 of 90, 10 and 0")
def step_shares(context):
    for name, expected in (("a", 0.9), ("b", 0.1), ("c", 0.0)):
        actual = context.picked[name] / context.count
        assert abs(actual - expected) <= 0.03, context.picked
    assert not context.picked["c"]


@behave.given("an intake whose catalogue was confirmed 10 s ago")
def step_intake(context):
    context.clock = manualclock.ManualClock()
    context.clock.advance(100_000)
    env = environments.Environment(
        "d",
        "z",
        context.clock,
        random.Random(1),
        quietlog.QuietLog(),
        headernames.HeaderNames(),
    )
    context.directory = directories.Directory("z")
    context.directory.adopt(_catalogue([_route("r", "h", "/a/")]))
    context.directory.list_known = True
    context.directory.confirmed_at = context.clock.now() - 10_000
    context.intake = admission.Admission(env, context.directory)


def _send_request(context):
    context.refused = context.intake.admit(
        callerrequest.CallerRequest(
            b"GET",
            b"/b/x",
            [(b"host", b"h"), (b"x-request-id", b"1")],
            b"",
            context.clock.now(),
        )
    )


@behave.when("a request for an unknown path arrives")
def step_unknown_path(context):
    _send_request(context)


@behave.when("its catalogue is confirmed and the request arrives again")
def step_confirmed(context):
    context.directory.confirmed_at = context.clock.now()
    _send_request(context)


@behave.then("it is refused with {status:d} and a time to retry after")
def step_retry_after(context, status):
    assert context.refused.status == status, context.refused
    assert context.refused.retry_after > 0


@behave.then("it is refused with {status:d}")
def step_refused(context, status):
    assert context.refused.status == status, context.refused
