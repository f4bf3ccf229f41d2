"""Steps about daemons that share the rate of an upstream."""

import collections
import heapq
import random
import zlib

import behave

from citronvalve.policy import upstreamlimits

_UPSTREAM, _PLACE = "upstream-1", "place-0"

#: In ms: the time to an answer, between two messages of a daemon about
#: limits, that such a message takes, and of the windows that are judged.
_ANSWER, _REPEAT, _MESSAGE, _WINDOW = 100, 500, 20, 4_000

#: Daemons of other data centres that are simulated at most.
_MOST_REMOTE = 60

#: Least rate at which an upstream is asked whether its limit is over.
_LEAST_RATE = 0.25

_SPAN = 90_000


class _Daemon:
    def __init__(self, name, place, members):
        self.name, self.place = name, place
        self.members = members
        self.limits = upstreamlimits.UpstreamLimits()

    def learn(self, limit):
        self.limits.record(_UPSTREAM, limit)

    @property
    def limit(self):
        return self.limits.limit_by_upstream.get(_UPSTREAM)


class _Fleet:
    """Daemons, their requests by time, and what reaches the upstream."""

    def __init__(self, count, places, demand):
        self.rng = random.Random(f"{count}/{places}/{demand}")
        self.place_by_name = {
            f"daemon-{n:04}": f"place-{n % places}" for n in range(count)
        }
        remote = [n for n, p in self.place_by_name.items() if p != _PLACE]
        names = [n for n, p in self.place_by_name.items() if p == _PLACE]
        self.daemons = [
            _Daemon(
                name,
                self.place_by_name[name],
                upstreamlimits.members_of(name, self.place_by_name),
            )
            for name in names + remote[:_MOST_REMOTE]
        ]
        self.demand_by_name = {d.name: demand for d in self.daemons}
        self.arrivals = []
        self.rate_at = lambda _: 0.0
        self.silent_until = 0
        self._queue = []
        self._count = 0

    def at(self, time, action, *given):
        self._count += 1
        heapq.heappush(self._queue, (time, self._count, action, given))

    def run(self):
        for daemon in self.daemons:
            self.at(self.rng.uniform(0, _REPEAT), self.repeat, daemon)
            if self.demand_by_name[daemon.name]:
                self.at(0, self.ask, daemon)
        while self._queue:
            time, _, action, given = heapq.heappop(self._queue)
            if time < _SPAN:
                action(round(time), *given)

    def ask(self, now, daemon):
        demand = self.demand_by_name[daemon.name]
        self.at(now + self.rng.expovariate(demand / 1_000), self.ask, daemon)
        due = daemon.limits.is_due(_UPSTREAM, _PLACE, daemon.members, now)
        if now < self.silent_until or not due:
            return
        daemon.limits.record_sent(_UPSTREAM, now)
        self.arrivals.append(now)
        self.at(now + _ANSWER, self.answer, daemon)

    def answer(self, now, daemon):
        rate = self.rate_at(now)
        daemon.learn(upstreamlimits.Limit(rate, now, now))

    def repeat(self, now, daemon):
        self.at(now + _REPEAT, self.repeat, daemon)
        if daemon.limit is not None:
            count = min(2, len(self.daemons))
            for other in self.rng.sample(self.daemons, count):
                self.at(now + _MESSAGE, self.take, other, daemon.limit)

    def take(self, now, daemon, limit):
        daemon.learn(limit._replace(began_at=limit.began_at + _MESSAGE))


def _learn_apart(fleet):
    for daemon in fleet.daemons:
        began_at = fleet.rng.randrange(1_000)
        daemon.limits = upstreamlimits.UpstreamLimits()
        fleet.at(
            began_at,
            lambda now, d: d.learn(
                upstreamlimits.Limit(fleet.rate_at(0), now, now)
            ),
            daemon,
        )


def _without_work(fleet):
    for daemon in fleet.daemons[::2]:
        fleet.demand_by_name[daemon.name] = 0


def _near_without_work(fleet):
    for daemon in fleet.daemons:
        if daemon.place == _PLACE:
            fleet.demand_by_name[daemon.name] = 0


def _restart(fleet):
    def forget(now, daemon):
        limit = daemon.limit
        daemon.limits = upstreamlimits.UpstreamLimits()
        # Whoever starts is told within a few messages.
        daemon.learn(limit)

    for turn, daemon in enumerate(fleet.daemons):
        fleet.at(5_000 + 2_000 * turn, forget, daemon)


def _change_rate(fleet):
    rate = fleet.rate_at(0)
    fleet.rate_at = lambda now: rate * (1 + zlib.crc32(b"%d" % now) % 9 / 90)


def _be_silent(fleet):
    fleet.silent_until = 20_000


_DO_BY_TROUBLE = {
    "and nothing else happens": lambda _: None,
    "and they learn it 1 s apart": _learn_apart,
    "and half of them have no work": _without_work,
    "and its data centre's have no work": _near_without_work,
    "and they start again in turn": _restart,
    "and the rate changes in each answer": _change_rate,
    "and all are silent for 20 s": _be_silent,
}


@behave.given(
    "{count:d} daemons in {places:d} data centres with {demand:d} requests a "
    "second each"
)
def step_fleet(context, count, places, demand):
    context.fleet = _Fleet(count, places, demand)


@behave.when(
    "an upstream names a rate of {rate:g} a second for 90 s, {trouble}"
)
def step_name(context, rate, trouble):
    fleet = context.fleet
    context.rate = rate
    fleet.rate_at = lambda _: rate
    for daemon in fleet.daemons:
        daemon.learn(upstreamlimits.Limit(rate, 0, 0))
    _DO_BY_TROUBLE[trouble](fleet)
    fleet.run()


@behave.then("it gets no more than allowed in any 4 s")
def step_kept(context):
    allowed = 1.5 * context.rate * _WINDOW / 1_000 + 5
    window = collections.deque()
    worst = 0
    for at in context.fleet.arrivals:
        # It counts once the daemons have had time to learn the rate.
        if at < 3_000:
            continue
        window.append(at)
        while window[0] <= at - _WINDOW:
            window.popleft()
        worst = max(worst, len(window))
    assert worst <= allowed, (worst, allowed)


@behave.then("it gets at least {least:g} times its rate")
def step_used(context, least):
    rate = max(context.rate, _LEAST_RATE)
    fewest = least * rate * _SPAN / 1_000
    got = len(context.fleet.arrivals)
    assert got >= fewest, (got, fewest)
