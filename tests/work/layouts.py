"""One model's demand doubles in a data centre while a domain is dark."""

import itertools
import pathlib

from tests.work import site
from tests.work import workfile

_FOLDER = pathlib.Path(__file__).parents[2] / "examples" / "work"

#: Times in ms.
_DURATION = 13_000
_BEGIN, _END = 1_500, 11_500

#: Large replicas of a domain in the data centre of the demand, and of others.
FIXED = tuple(itertools.product((0, 1, 2), repeat=2))


def read(name):
    """Return a work as its file states it.

    :param name: of the file.
    """
    return workfile.read(_FOLDER / f"{name}.json5")


def work(name, kind, datacentre):
    """Return a work without losses, but for the dark domain.

    :param name: of its file.
    :param kind: the kind of request that comes twice as often for 10 s.
    :param datacentre: where it does.
    """
    stated = read(name)
    stated.loss_interval = 0
    stated.duration = _DURATION
    stated.dark_domain = datacentre
    stated.dark_begin, stated.dark_end = _BEGIN, _END
    stated.bursts = [workfile.Burst(kind, 2.0, _BEGIN, _END, datacentre)]
    return stated


def play(stated, seed, fixed=None, local_rooms=True):
    """Return the worth, with the planner or with a fixed layout.

    :param stated: the work.
    :param seed: decides all chance.
    :param fixed: large replicas of a domain where the demand doubles, and of
        the others; None for the planner.
    :param local_rooms: whether the planner wants replicas by data centre.
    """
    large_by_datacentre = fixed and {
        f"zone-{number}": fixed[number != stated.bursts[0].datacentre]
        for number in range(stated.datacentres)
    }
    played = site.Site(stated, seed, local_rooms, large_by_datacentre)
    played.run()
    assert not played.world.violations, played.world.violations
    return played.results.worth()
