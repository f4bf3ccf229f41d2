"""Steps for a daemon that becomes leader of the replica groups."""

import behave
import eventlet

from citronvalve.daemon import entrydaemon
from citronvalve.daemon import entrysettings
from citronvalve.daemon import platforminterface
from citronvalve.forward import headernames
from citronvalve.forward import placement
from citronvalve.model import missing
from citronvalve.policy import retrybudget
from citronvalve.replicas import order
from citronvalve.replicas import runner
from citronvalve.replicas import runnerclient
from citronvalve.routes import callerlimits
from citronvalve.routes import catalogue
from citronvalve.routes import service
from standins import memorytable
from tests.replicas import world

_ANY_PORT = "127.0.0.1:0"


class _RecordingClient(runnerclient.RunnerClient):
    """Accepts and records every order."""

    def __init__(self):
        self.given = []

    def send(self, target, what):
        self.given.append(what)
        return order.OrderResult.ACCEPTED

    def probe(self, target):
        return target


def _settings():
    return entrysettings.EntrySettings(
        "daemon-1",
        "zone-0",
        _ANY_PORT,
        _ANY_PORT,
        _ANY_PORT,
        retrybudget.RetryLimits(0.2, 100, 10_000),
        placement.ColdLimits(),
        grace=5_000,
        stall=world.STALL,
        first_start=False,
    )


def _platform(client):
    store = memorytable.MemoryTable()
    return platforminterface.PlatformInterface(
        lambda: store,
        "list",
        "operators",
        lambda row: None,
        lambda row: missing.NotFound("no catalogue", row.key),
        lambda key: None,
        "catalogue",
        client,
        headernames.HeaderNames(),
        "/readyz",
        _settings,
    )


def _catalogue():
    engine = service.Service("svc", "/", 99, engine=world.spec())
    limits = callerlimits.CallerLimits()
    return catalogue.Catalogue(1, {}, {"svc": engine}, {}, limits, False)


@behave.given(
    "a daemon that has received a list of {count:d} free runners from the "
    "leader"
)
def step_daemon(context, count):
    context.orders = _RecordingClient()
    context.daemon = entrydaemon.EntryDaemon(
        _settings(), _platform(context.orders)
    )
    directory = context.daemon.directory
    directory.adopt(_catalogue())
    for n in range(count):
        directory.update_runner(
            runner.Runner(
                f"r-{n}",
                "svc",
                f"127.0.0.1:{n + 1}",
                "zone-0",
                domain="zone-0/d0",
                staged=("large", "small"),
                start_id=1,
                list_version=1,
            )
        )
    directory.list_known = True


@behave.when("it acquires the lease and does not read the list itself for 1 s")
def step_acquire(context):
    planning = eventlet.spawn(context.daemon._planner_task.run)
    context.daemon._lease.step()
    assert context.daemon._lease.held
    eventlet.sleep(1)
    planning.kill()


@behave.then("it has sent no order")
def step_no_order(context):
    given = [(one.kind.value, one.runner) for one in context.orders.given]
    assert not given, given
