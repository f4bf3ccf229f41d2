"""Steps for a daemon that becomes leader of the replica groups."""

import behave
import eventlet
import eventlet.event

from citronvalve.daemon import entrydaemon
from citronvalve.daemon import entrysettings
from citronvalve.daemon import platforminterface
from citronvalve.forward import headernames
from citronvalve.forward import placement
from citronvalve.model import missing
from citronvalve.policy import retrybudget
from citronvalve.replicas import lease
from citronvalve.replicas import membership
from citronvalve.replicas import order
from citronvalve.replicas import phase
from citronvalve.replicas import runner
from citronvalve.replicas import runnerclient
from citronvalve.routes import callerlimits
from citronvalve.routes import catalogue
from citronvalve.routes import service
from citronvalve.storage import rows
from standins import memorytable
from tests.replicas import world

_ANY_PORT = "127.0.0.1:0"

_KEY = membership.GroupKey("large~1", 1)


class _RecordingClient(runnerclient.RunnerClient):
    """Accepts and records every order.

    :ivar answers: an event before which no order is answered, or None.
    :ivar on_order: called with each order.
    """

    def __init__(self):
        self.given = []
        self.answers = None
        self.on_order = lambda what: None

    def send(self, target, what):
        self.given.append(what)
        self.on_order(what)
        if self.answers is not None:
            self.answers.wait()
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


def _decode(row):
    rank = row.value.get("rank")
    decoded = _runner(row.value["number"], row.version)
    if rank is None:
        return decoded
    at = phase.Phase.READY if rank else phase.Phase.OPEN
    held = membership.Membership(_KEY, rank, at)
    return decoded._replace(membership=held)


def _platform(client, store):
    return platforminterface.PlatformInterface(
        lambda: store,
        "list",
        "operators",
        _decode,
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


def _runner(number, version):
    return runner.Runner(
        f"r-{number}",
        "svc",
        f"127.0.0.1:{number + 1}",
        "zone-0",
        domain="zone-0/d0",
        staged=("large", "small"),
        start_id=1,
        list_version=version,
    )


def _make(context, store):
    context.orders = _RecordingClient()
    context.daemon = entrydaemon.EntryDaemon(
        _settings(), _platform(context.orders, store)
    )
    context.daemon.directory.adopt(_catalogue())


@behave.given(
    "a daemon that has received a list of {count:d} free runners from the "
    "leader"
)
def step_daemon(context, count):
    _make(context, memorytable.MemoryTable())
    directory = context.daemon.directory
    for n in range(count):
        directory.update_runner(_runner(n, 1))
    directory.list_known = True


@behave.given("a daemon that follows a list of {count:d} free runners")
def step_following(context, count):
    _follow(context, [{"number": n} for n in range(count)])


@behave.given(
    "a daemon that follows a list of {count:d} runners of which one is "
    "missing from a group that serves"
)
def step_following_group(context, count):
    _follow(context, [{"number": n, "rank": n} for n in range(count - 1)])


@behave.given(
    "a daemon that follows a list of {count:d} runners of which the head is "
    "missing"
)
def step_following_headless(context, count):
    _follow(context, [{"number": n, "rank": n} for n in range(1, count)])


@behave.given("all of them are recorded as ordered to leave")
def step_recorded(context):
    value = {"runners": list(context.daemon.directory.runner_by_id)}
    write = rows.Write(lease.TABLE, "left/svc", value)
    context.store.commit(rows.Transaction("left", (), (write,)))


@behave.given("it has followed the list for {seconds:d} s")
def step_followed(context, seconds):
    eventlet.sleep(seconds)


@behave.when("the store takes no writes for {seconds:d} s")
def step_no_writes(context, seconds):
    context.tried = []

    def refuse(transaction):
        context.tried.append(transaction.attempt)
        return missing.Unavailable("no writes")

    context.store.commit = refuse
    eventlet.sleep(seconds)


@behave.then("it has tried to record them {least:d} to {most:d} times")
def step_tried(context, least, most):
    tried = sum(attempt.startswith("left/") for attempt in context.tried)
    assert least <= tried <= most, context.tried


@behave.then("for {seconds:d} s it sends no order")
def step_none_for(context, seconds):
    eventlet.sleep(seconds)
    assert not context.orders.given, context.orders.given


@behave.then(
    "the first order to leave is given within {seconds:d} s, once all "
    "{count:d} are recorded"
)
def step_leave_recorded(context, seconds, count):
    recorded = []

    def look(what):
        if what.kind is order.OrderKind.LEAVE:
            row = context.store.read(lease.TABLE, "left/svc")
            recorded.append(row and len(row.value["runners"]))

    context.orders.on_order = look
    eventlet.sleep(seconds)
    assert recorded and set(recorded) == {count}, recorded


def _follow(context, values):
    context.store = store = memorytable.MemoryTable()
    for value in values:
        write = rows.Write("list", f"r-{value['number']}", value)
        store.commit(rows.Transaction(write.key, (), (write,)))
    _make(context, store)
    context.daemon._follow_tables()
    eventlet.sleep(0.1)
    assert context.daemon.directory.list_known


@behave.given("no runner answers orders")
def step_no_answers(context):
    context.orders.answers = eventlet.event.Event()


@behave.when("another daemon reports that its head is stalled")
def step_report(context):
    context.daemon._messages.on_stall("r-0")


@behave.given("it acquires the lease")
@behave.when("it acquires the lease")
def step_lead(context):
    context.daemon._lease.step()
    assert context.daemon._lease.held
    for task in (
        context.daemon._planner_task.run,
        context.daemon._renew_lease,
    ):
        context.add_cleanup(eventlet.spawn(task).kill)


@behave.when("its links are cut for {seconds:g} s, and {others} for it")
def step_links_cut(context, seconds, others):
    daemon = context.daemon
    connector, now = daemon._links.connector, daemon.env.clock.now()
    for upstream in ("r-1", "r-2"):
        connector.links.record_lost(upstream, "zone-0", {"zone-0"}, now)
    assert connector.links.is_cut
    if others == "others relay":
        connector._choice.record_worked("daemon-2", now)
    eventlet.sleep(seconds)


@behave.then("it has resigned, and is the last candidate")
def step_resigned(context):
    daemon = context.daemon
    assert not daemon._lease.held
    daemon._lease.add_peer("daemon-2", lease.Peer("addr:1", "zone-0"))
    assert daemon._lead_rank() >= 2, daemon._lead_rank()


@behave.then("it leads")
def step_leads(context):
    assert context.daemon._lease.held


@behave.when("it loses the lease while orders wait")
def step_lose(context):
    eventlet.sleep(0.5)
    assert context.orders.given
    newer = context.daemon._lease.held + 1
    context.daemon._lease.observe_leader("daemon-2", newer)
    context.before = list(context.orders.given)
    context.orders.answers.send()


@behave.then("no order is sent after that")
def step_none_after(context):
    eventlet.sleep(0.3)
    after = context.orders.given[len(context.before) :]
    assert not after, after


@behave.then("within {seconds:g} s it has ordered the head to cut")
def step_cut(context, seconds):
    eventlet.sleep(seconds)
    cut = [
        one.runner
        for one in context.orders.given
        if one.kind is order.OrderKind.CUT
    ]
    assert cut and set(cut) == {"r-0"}, context.orders.given


@behave.then("within {seconds:g} s it has ordered {count:d} runners to join")
def step_joined(context, seconds, count):
    eventlet.sleep(seconds)
    joined = {
        one.runner
        for one in context.orders.given
        if one.kind is order.OrderKind.JOIN
    }
    assert len(joined) == count, joined


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
