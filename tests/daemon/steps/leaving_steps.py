"""Steps about the exchange of upstreams that say that they leave."""

import behave
import eventlet

from citronvalve.daemon import leavingexchange
from citronvalve.forward import directory as directories
from citronvalve.forward import leaving
from citronvalve.replicas import runner as runners
from tests.daemon import exchangefleet

_UPSTREAM = "u-0"


class _Daemon(exchangefleet.Daemon):
    def make(self, members):
        self.directory = directories.Directory("zone-0")
        self.list_upstream(start_id=1)
        self.leaving = leaving.Leaving(self.env, self.directory)
        exchange = leavingexchange.LeavingExchange(
            self.env, members, self.leaving, self.broadcast, self.send
        )
        self.leaving.on_change = exchange.send_change
        return exchange

    def receive(self, message):
        self.exchange.on_leaving(message)

    def list_upstream(self, start_id):
        self.directory.update_runner(
            runners.Runner(
                _UPSTREAM,
                "plain",
                "127.0.0.1:9",
                "zone-0",
                start_id=start_id,
                list_version=start_id,
            )
        )

    def hear(self):
        if self.leaving.record(_UPSTREAM, 1, "here"):
            self.leaving.on_change(_UPSTREAM)

    @property
    def uses_it(self):
        return self.directory.is_in_service(_UPSTREAM)


@behave.given("{count:d} daemons that list an upstream")
def step_fleet(context, count):
    context.fleet = exchangefleet.Fleet(count, _Daemon)


@behave.when("one is told that it leaves")
def step_told(context):
    context.fleet.daemons[0].hear()


@behave.when("one is told that it leaves, and another one starts")
def step_started(context):
    step_told(context)
    eventlet.sleep(exchangefleet.BROADCAST)
    context.fleet.start_another()


@behave.when("one is cut off while another one is told of it")
def step_cut(context):
    context.fleet.miss(context.fleet.daemons[0].hear)


@behave.when("it starts again")
def step_restart(context):
    for daemon in context.fleet.daemons:
        daemon.list_upstream(start_id=2)


@behave.when("within {seconds:g} s all daemons send it nothing new")
@behave.then("within {seconds:g} s all daemons send it nothing new")
def step_nothing(context, seconds):
    def users():
        return [daemon.uses_it for daemon in context.fleet.daemons]

    exchangefleet.wait_until(lambda: not any(users()), seconds, users)


@behave.then("{seconds:g} s later all daemons use it")
def step_used(context, seconds):
    eventlet.sleep(seconds)
    assert all(daemon.uses_it for daemon in context.fleet.daemons)
