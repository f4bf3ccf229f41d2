"""Steps about the exchange of upstreams' limits."""

import behave
import eventlet

from citronvalve.daemon import limitexchange
from citronvalve.forward import directory as directories
from citronvalve.forward import limiter
from citronvalve.model import clock
from citronvalve.policy import upstreamlimits
from tests.daemon import exchangefleet


class _Daemon(exchangefleet.Daemon):
    def make(self, members):
        self.limiter = limiter.Limiter(
            self.env, directories.Directory("zone-0")
        )
        exchange = limitexchange.LimitExchange(
            self.env, members, self.limiter, self.broadcast, self.send
        )
        self.limiter.on_change = exchange.send_change
        return exchange

    def receive(self, message):
        self.exchange.on_limits(message)

    def name_limits(self, count=1, age=0):
        now = self.env.clock.now() - age
        for number in range(count):
            limit = upstreamlimits.Limit(1.0, now, now)
            if self.limiter.record_limit(f"u-{number}", limit, "here"):
                self.limiter.on_change(f"u-{number}")

    def end_limit(self):
        self.limiter.record_restart("u-0")

    @property
    def count(self):
        return len(self.limiter.limits.limit_by_upstream)


@behave.given("{count:d} daemons of one data centre")
def step_fleet(context, count):
    context.fleet = exchangefleet.Fleet(count, _Daemon)


def _tell_one(fleet):
    fleet.daemons[0].name_limits()


def _tell_all(fleet):
    for daemon in fleet.daemons:
        daemon.name_limits()


def _tell_and_end(fleet):
    _tell_one(fleet)
    eventlet.sleep(exchangefleet.BROADCAST)
    fleet.daemons[1].end_limit()


def _tell_and_start(fleet):
    _tell_one(fleet)
    eventlet.sleep(exchangefleet.BROADCAST)
    fleet.start_another()


def _cut_and_tell(fleet):
    fleet.miss(fleet.daemons[0].name_limits)


def _cut_and_end(fleet):
    _tell_one(fleet)
    eventlet.sleep(exchangefleet.BROADCAST)
    fleet.miss(fleet.daemons[1].end_limit)


def _tell_late(fleet):
    _tell_and_end(fleet)
    eventlet.sleep(exchangefleet.BROADCAST)
    fleet.daemons[2].name_limits(
        age=round(exchangefleet.BROADCAST * clock.SECOND)
    )


def _tell_many(fleet):
    fleet.daemons[0].name_limits(700)


_DO_BY_WHAT = {
    "one is told of a limit": _tell_one,
    "all are told of a limit at once": _tell_all,
    "one is told of a limit, and another one of its end": _tell_and_end,
    "one is told of a limit, and another daemon starts": _tell_and_start,
    "one is cut off while another one is told of a limit": _cut_and_tell,
    "one is cut off while a limit ends": _cut_and_end,
    "a message about a limit comes after its end": _tell_late,
    "one is told of 700 limits": _tell_many,
}


@behave.when("daemon 0 hears {heard:d} others")
def step_hears(context, heard):
    daemon = context.fleet.daemons[0]
    names = [f"daemon-{n}" for n in range(1, heard + 1)]
    daemon.exchange.is_reachable = names.__contains__
    daemon.exchange.start()


@behave.when("it happens that {what}")
def step_do(context, what):
    _DO_BY_WHAT[what](context.fleet)


@behave.then("within {seconds:g} s all daemons know {limits:d} limits")
def step_know(context, seconds, limits):
    def counts():
        return [daemon.count for daemon in context.fleet.daemons]

    exchangefleet.wait_until(
        lambda: set(counts()) == {limits}, seconds, counts
    )


@behave.then("at most {most:d} of them tell all others")
def step_few(context, most):
    eventlet.sleep(exchangefleet.BROADCAST)
    telling = sum(daemon.told for daemon in context.fleet.daemons)
    assert 0 < telling <= most, telling


@behave.then("it shares limits with {sharing:d} others")
def step_shares(context, sharing):
    members = context.fleet.daemons[0].limiter.members
    assert members.near.daemons == sharing + 1, members
