"""Plays of one model with and without even load, and what requests met.

``python -m tests.work.evenness PATTERN USE SEED...`` prints the figures.
"""

import collections
import random
import sys
from typing import NamedTuple

from citronvalve.policy import evenchoice
from citronvalve.policy import roomshare
from tests.work import engine as engines
from tests.work import site as sites
from tests.work import workfile

_TIME_FACTOR = 0.6
_KIND = "request"


def work(daemons):
    """Return the work of a site with 36 or 61 daemons.

    Reports are 50 to 300 ms old.

    :param daemons: their number.
    """
    is_small = daemons == 36
    return workfile.Work(
        domains=9 if is_small else 6,
        domain_size=18 if is_small else 37,
        datacentres=3,
        daemons=daemons,
        slots=10 if is_small else 15,
        step_time=7.8 if is_small else 5.95,
        prefill_tokens_per_ms=45.9 if is_small else 50.7,
        remote_latency=0.5 if is_small else 1.4,
        models={
            "model": workfile.ModelMix(
                size=2 if is_small else 4,
                time_factor=_TIME_FACTOR,
                load_time=12_000,
                staged_load_time=1_100,
            )
        },
        requests=[
            workfile.RequestMix(
                name=_KIND,
                model="model",
                rate=0.0,
                prompt_tokens=674,
                events=28 if is_small else 31,
                objective=301 if is_small else 203,
                gap_objective=200,
                timeout=6_000,
                worth=1.9,
                late_worth=0.4,
            )
        ],
        duration=6_000,
        report_steps=3,
        own_chance=True,
    )


class Figures(NamedTuple):
    """What the requests of a play met; times in ms.

    ``misplaced`` ones were sent to a replica without a free slot while
    another one of its data centre had one.
    """

    asked: int
    in_time: float
    misplaced: int
    p99: float
    local: float


def play(played, use, seed, prepare):
    """Play a work and return its figures.

    :param played: the work.
    :param use: part of the replicas' room that is asked for.
    :param seed: decides all chance.
    :param prepare: called with the site before it is played.
    """
    site = sites.Site(played, seed)
    replicas = played.domains * (
        played.domain_size // played.models["model"].size
    )
    rate = use * replicas * room(site.spec, played)
    played.requests[0].rate = as_drawn(rate, played.datacentres)
    counts = collections.Counter()
    site.on_send = lambda head, engine: counts.update(
        misplaced=_is_misplaced(site, head, engine)
    )
    prepare(site)
    site.run()
    outcome = site.results.outcomes()[_KIND]
    firsts = sorted(call.first for call in site.calls if call.first)
    sent = sum(site.sent_locally.values())
    return Figures(
        outcome.asked,
        outcome.in_time / outcome.asked,
        counts["misplaced"],
        firsts[int(0.99 * len(firsts))],
        site.sent_locally[True] / sent,
    )


def room(spec, played):
    """Return how many requests a second a replica serves in all its slots.

    :param spec: the engine.
    :param played: the work.
    """
    due = []
    rng = random.Random(0)
    kind = played.requests[0]
    ended = []
    engine = engines.Engine(
        spec, _TIME_FACTOR, lambda at, call: due.append((at, call))
    )

    def add(now):
        prompt = kind.prompt_tokens * rng.lognormvariate(-0.25, 0.7)
        events = kind.events * rng.lognormvariate(-0.2, 0.6)
        job = engines.Job(None, max(40, int(prompt)), max(1, int(events)), 0)
        engine.add(job, now)

    def end(job):
        ended.append(job)
        add(job.last_at)

    engine.on_end = end
    for _ in range(played.slots):
        add(0)
    now = 0
    while now < 60_000:
        now, call = due.pop(0)
        call()
    return 1_000 * len(ended) / now


def as_drawn(rate, datacentres):
    """Return the rate to state for a rate of calls a second.

    Calls come at whole ms, which shortens their intervals by half of one.

    :param rate: calls a second.
    :param datacentres: their number.
    """
    interval = 1_000 * datacentres / rate + 0.5
    return 1_000 * datacentres / interval


def _is_misplaced(site, head, engine):
    slots = site.work.slots
    if len(engine.jobs) < slots:
        return False
    return any(
        len(other.jobs) < slots and not other.stalled
        for upstream, other in site.engine_by_head.items()
        if site.world.runner_by_id[upstream].datacentre == head.datacentre
    )


def switch_on(site):
    """Let all daemons spread requests evenly."""
    spread(site, evenchoice.EvenChoice)


def spread(site, choice):
    """Let all daemons choose in a way that depends on their place.

    :param site: the site.
    :param choice: the class of the choice.
    """
    names = collections.defaultdict(list)
    for daemon in site.daemons:
        names[daemon.datacentre].append(daemon)
    for daemons in names.values():
        for position, daemon in enumerate(daemons):
            turn = roomshare.Turn(position, len(daemons))
            daemon.placement.set_choice(
                choice(daemon.loads, daemon.rng, lambda turn=turn: turn)
            )


def leave_off(site):
    """Leave the daemons as they are."""


class _CurrentLoads:
    """Stands in for the reports; knows all requests at once."""

    def __init__(self, site, daemon):
        self._site = site
        self._loads = daemon.loads

    def record(self, *_):
        pass

    def requests(self, upstream, _):
        engine = self._site.engine_by_head.get(upstream)
        if engine is None:
            return 0, 0
        own = self._loads.of(upstream)
        return len(engine.jobs) - own.own, engine.late_count - own.late


def know_all(site):
    """Let all daemons choose the least loaded replica of the moment."""
    for daemon in site.daemons:
        daemon.loads.remote_loads = _CurrentLoads(site, daemon)
        daemon.rng.random = lambda: 0.0


def main(pattern, use, *seeds):
    """Print the figures of plays as they are, evenly and knowing all."""
    for seed in seeds:
        for prepare in (leave_off, switch_on, know_all):
            played = work(int(pattern))
            figures = play(played, float(use), int(seed), prepare)
            print(seed, prepare.__name__, figures, flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
