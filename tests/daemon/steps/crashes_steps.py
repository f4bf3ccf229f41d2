"""Steps about the exchange of evidence about crashes."""

import random

import behave
import eventlet

from citronvalve.daemon import crashexchange
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.model import clock
from citronvalve.peers import messages
from citronvalve.policy import crashevidence
from citronvalve.policy import crashjudge
from citronvalve.policy import crashsuspects
from citronvalve.replicas import crashrecord
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows
from standins import memorytable
from tests import quietlog

_MODEL = 1
_LATENCY = 0.005


class _Members:
    """The known daemons, as the lease holds them."""

    def __init__(self):
        self.peer_by_name = {}
        self.has_scanned = True


class _Network:
    def __init__(self):
        self.members = _Members()
        self.daemon_by_address = {}
        self.cut_off = set()
        self.count = 0

    def send(self, sender, address, message):
        self.count += 1
        eventlet.spawn_after(_LATENCY, self._deliver, sender, address, message)

    def _deliver(self, sender, address, message):
        if not self.cut_off & {sender, address}:
            self.daemon_by_address[address].receive(message)


class _Daemon:
    def __init__(self, network, number, count):
        self.name = f"daemon-{number}"
        self.network = network
        self.suspects = crashsuspects.CrashSuspects()
        env = environments.Environment(
            self.name,
            "zone-0",
            clock.SystemClock(),
            random.Random(number),
            quietlog.QuietLog(),
            headernames.HeaderNames(),
        )
        env.daemon_count = count
        self.told = 0
        self.env = env
        self.exchange = crashexchange.CrashExchange(
            env,
            self.name,
            network.members,
            self.suspects,
            self._broadcast,
            lambda address, message: network.send(self.name, address, message),
        )
        network.daemon_by_address[self.name] = self
        network.members.peer_by_name[self.name] = leases.Peer(
            self.name, "zone-0"
        )

    def _broadcast(self, message):
        self.told += 1
        for address in self.network.daemon_by_address:
            if address != self.name:
                self.network.send(self.name, address, message)

    def receive(self, message):
        self.exchange.record_contact()
        if isinstance(message, messages.CrashEvidence):
            self.exchange.on_evidence(message)
        else:
            self.exchange.on_request(message)

    def lose(self, count, content):
        now = self.env.clock.now()
        losses = [
            crashevidence.Loss(content, start, _MODEL, now - 100 * start)
            for start in range(count)
        ]
        for loss in losses:
            self.suspects.record_loss(loss)
        self.exchange.send_losses(losses)

    def answer(self, content):
        proof = crashevidence.Proof(content, _MODEL, self.env.clock.now())
        if self.suspects.record_proof(proof):
            self.exchange.send_proofs([proof])

    def refuses(self, content):
        contents = crashevidence.Contents(0, (content,))
        now = self.env.clock.now()
        case = crashjudge.Case(contents, _MODEL, now)
        return self.suspects.judge.find(case) is not None


def _start(context, count, known):
    context.network = network = _Network()
    context.daemons = [_Daemon(network, n, count) for n in range(count)]
    for daemon in context.daemons:
        daemon.exchange.start()
    if known:
        eventlet.sleep(1.1)
        network.count = 0


def _within(seconds, is_so):
    end = clock.SystemClock().now() + seconds * clock.SECOND
    while not is_so():
        assert clock.SystemClock().now() < end, "it is not so"
        eventlet.sleep(0.01)


@behave.given("{count:d} daemons that know each other")
def step_known(context, count):
    _start(context, count, known=True)


@behave.given("{count:d} daemons that have just started")
def step_started(context, count):
    _start(context, count, known=False)


@behave.given("no other daemon")
def step_alone(context):
    _start(context, 0, known=False)


@behave.given(
    "daemon {number:d} loses {count:d} upstreams with the content {content:d}"
)
@behave.when(
    "daemon {number:d} loses {count:d} upstreams with the content {content:d}"
)
def step_lose(context, number, count, content):
    context.daemons[number].lose(count, content)
    eventlet.sleep(0.1)


@behave.when("daemon {number:d} delivers an answer on the content {content:d}")
def step_answer(context, number, content):
    context.daemons[number].answer(content)


@behave.when("all daemons deliver an answer on the content {content:d}")
def step_all_answer(context, content):
    for daemon in context.daemons:
        daemon.told = 0
        daemon.answer(content)
    eventlet.sleep(0.5)


@behave.when("another daemon starts")
def step_another(context):
    number = len(context.daemons)
    context.daemon = _Daemon(context.network, number, number + 1)
    context.daemon.exchange.start()


@behave.when(
    "daemon {cut:d} hears nobody for {seconds:g} s, and daemon {number:d} "
    "loses {count:d} upstreams with the content {content:d}"
)
def step_cut(context, cut, seconds, number, count, content):
    context.daemon = context.daemons[cut]
    context.network.cut_off = {context.daemon.name}
    context.daemons[number].lose(count, content)
    eventlet.sleep(seconds)


@behave.when("daemon {number:d} hears the others again")
def step_back(context, number):
    context.network.cut_off = set()
    request = messages.CrashEvidenceRequest("daemon-0", "daemon-0")
    context.daemons[number].receive(request)


@behave.when(
    "daemon {cut:d} misses that daemon {number:d} loses {count:d} upstreams "
    "with the content {content:d}"
)
def step_miss(context, cut, number, count, content):
    context.network.cut_off = {context.daemons[cut].name}
    context.daemons[number].lose(count, content)
    eventlet.sleep(0.1)
    context.network.cut_off = set()


@behave.when("{seconds:g} s pass")
def step_pass(context, seconds):
    eventlet.sleep(seconds)


def _hold(daemon):
    began = daemon.env.clock.now()
    daemon.exchange.wait_known(began + 5 * clock.SECOND)
    return (daemon.env.clock.now() - began) / clock.SECOND


@behave.then(
    "it holds requests until it knows, at most {seconds:g} s, and refuses the "
    "content {content:d}"
)
def step_holds(context, seconds, content):
    held = _hold(context.daemon)
    assert held <= seconds, held
    assert context.daemon.refuses(content)


@behave.then(
    "it holds requests at most {seconds:g} s, and does not refuse the content "
    "{content:d}"
)
def step_holds_not(context, seconds, content):
    held = _hold(context.daemon)
    assert held <= seconds, held
    assert not context.daemon.refuses(content)


@behave.then("they hold requests at most {seconds:g} s")
def step_all_hold(context, seconds):
    held = [_hold(daemon) for daemon in context.daemons]
    assert sum(held) <= seconds, held


@behave.then("within {seconds:g} s all daemons refuse the content {content:d}")
def step_refuse(context, seconds, content):
    _within(seconds, lambda: all(d.refuses(content) for d in context.daemons))


@behave.then("within {seconds:g} s no daemon refuses the content {content:d}")
def step_refuse_not(context, seconds, content):
    _within(
        seconds, lambda: not any(d.refuses(content) for d in context.daemons)
    )


@behave.then("no message was sent")
def step_silent(context):
    assert not context.network.count, context.network.count


@behave.then("at most {most:d} of them tell the others")
def step_tell(context, most):
    told = sum(daemon.told for daemon in context.daemons)
    assert 0 < told <= most, told


class _Recorded:
    """A leader's record, and what a daemon makes of it as it starts."""

    def __init__(self):
        self.store = memorytable.MemoryTable()
        self.clock = clock.SystemClock()
        self.suspects = crashsuspects.CrashSuspects()
        self._lease = self._make("leader")
        self._lease.step()
        self.record = crashrecord.CrashRecord(
            self.store, self._lease, self.clock
        )

    def _make(self, name):
        return leases.Lease(
            self.store,
            name,
            leases.Peer(name, "zone-0"),
            self.clock,
            quietlog.QuietLog(),
        )

    def write(self):
        self.record.write(self.suspects.fenced_losses())

    def start(self):
        started = crashsuspects.CrashSuspects()

        def merge(row):
            found = crashrecord.parse(row.value, self.clock.now())
            started.merge(found)

        lease = self._make("daemon")
        lease.on_row = merge
        lease.step()
        return started


@behave.given(
    "a leader whose {count:d} upstreams were lost with the content {content:d}"
)
def step_leader(context, count, content):
    context.recorded = made = _Recorded()
    now = made.clock.now()
    for start in range(count):
        made.suspects.record_loss(
            crashevidence.Loss(content, start, _MODEL, now - 100 * start)
        )
    made.write()


def _break(made):
    made.store.commit(
        rows.Transaction(
            "break",
            (),
            (rows.Write(leases.TABLE, crashrecord.KEY, {"losses": [[1]]}),),
        )
    )


def _clear(made):
    now = made.clock.now()
    made.suspects.record_proof(crashevidence.Proof(7, _MODEL, now))
    made.write()


_DO_BY_STATE = {
    "as written": lambda made: None,
    "unreadable": _break,
    "cleared by an answer": _clear,
}


@behave.given("the stored record is then {state}")
def step_state(context, state):
    _DO_BY_STATE[state](context.recorded)


@behave.when("a daemon reads the rows of the daemons as it starts")
def step_read(context):
    context.started = context.recorded.start()


@behave.then("it {does} the content {content:d}")
def step_does(context, does, content):
    contents = crashevidence.Contents(0, (content,))
    now = clock.SystemClock().now()
    case = crashjudge.Case(contents, _MODEL, now)
    is_refused = context.started.judge.find(case) is not None
    assert is_refused == (does == "refuses")


@behave.when("it records what it knows {count:d} times")
def step_repeat(context, count):
    context.writes = context.recorded.store.writes
    for _ in range(count):
        context.recorded.write()


@behave.then("the record was written once")
def step_once(context):
    assert context.recorded.store.writes == context.writes
