"""A process that sends an experiment's load at its own pace.

Arrivals are drawn from a seed and do not wait for answers: callers do not
slow down because the system does.
"""

import json
import random
import time

import defopt
import eventlet

from standins.experiment import caller as callers
from standins.experiment import plan as plans
from standins.experiment import sample


def load(
    *, plan: str, addresses: str, part: int, parts: int, begin_at: float
) -> None:
    """Send one part of the load and print a sample a line.

    :param plan: file of the experiment.
    :param addresses: daemons' callers' ports, with commas between.
    :param part: number of this process, from 0.
    :param parts: how many processes share the load.
    :param begin_at: wall clock in seconds when the load begins.
    """
    read = plans.load(plan)
    eventlet.sleep(max(0.0, begin_at - time.time()))
    caller = callers.Caller(
        addresses.split(","),
        read.engines.tokens,
        read.deadline,
        time.monotonic(),
    )
    for answered in _send(read, caller, part, parts):
        print(json.dumps(answered))


def _send(
    read: plans.Plan, caller: callers.Caller, part: int, parts: int
) -> list[sample.Sample]:
    chance = random.Random(f"{read.seed}/{part}")
    names = [team.name for team in read.teams]
    shares = [team.share for team in read.teams]
    pool = eventlet.GreenPool(10_000)
    sent = []
    began = time.monotonic()
    due, number = 0.0, part
    while due < read.span / 1_000:
        eventlet.sleep(max(0.0, began + due - time.monotonic()))
        team = chance.choices(names, shares)[0]
        sent.append(pool.spawn(caller.ask, number, team))
        due += chance.expovariate(read.rate / parts)
        number += parts
    return [one.wait() for one in sent]


def main() -> None:
    """Read the command line and send the load."""
    defopt.run(load)
