"""Plays of data centres that are asked for unlike parts of their room.

``python -m tests.work.datacentres SEED...`` prints the figures as they are,
with the excess sent by what callers lose, and of a chooser that knows all.
"""

import collections
import pathlib
import sys
from typing import NamedTuple

from citronvalve.policy import datacentrechoice
from tests.work import evenness
from tests.work import site as sites
from tests.work import workfile

_PATH = (
    pathlib.Path(__file__).parents[2]
    / "examples"
    / "work"
    / "unevencentres.json5"
)


class Figures(NamedTuple):
    """What callers got, and what passed between data centres.

    ``in_time`` is by data centre.  ``moved`` is what was sent to other data
    centres as a part of all, and ``needed`` the same for what is asked for
    in each beyond an even use of all room.
    """

    in_time: dict[str, float]
    moved: float
    needed: float

    @property
    def worst(self):
        """Return the worst data centre's part of the best one's."""
        return min(self.in_time.values()) / max(self.in_time.values())


def work(shares=()):
    """Return the work of three data centres.

    :param shares: their parts of the demand, if not as in the file.
    """
    read = workfile.read(_PATH)
    read.datacentre_shares = list(shares) or read.datacentre_shares
    return read


def play(played, use, seed, prepare):
    """Play a work and return the site.

    :param played: the work.
    :param use: part of all room that is asked for.
    :param seed: decides all chance.
    :param prepare: called with the site before it is played.
    """
    site = sites.Site(played, seed)
    replicas = played.domains * (
        played.domain_size // played.models["model"].size
    )
    rate = use * replicas * evenness.room(site.spec, played)
    played.requests[0].rate = evenness.as_drawn(rate, played.datacentres)
    prepare(site)
    site.run()
    assert not site.world.violations, site.world.violations
    return site


def figures(site, begin=0, end=None):
    """Return the figures of a played site.

    :param site: the site.
    :param begin: ms from which on calls count.
    :param end: ms until which calls count, None for all.
    """
    end = site.work.duration if end is None else end
    count_by_datacentre = collections.defaultdict(collections.Counter)
    asked = collections.Counter()
    for call in site.calls:
        if begin <= call.arrived_at - site.begin < end:
            count_by_datacentre[call.datacentre][call.result] += 1
            asked[call.datacentre] += call.size
    even = asked.total() / site.work.datacentres
    moved = sum(
        sent.size
        for sent in site.sent
        if sent.origin != sent.target and begin <= sent.at < end
    )
    return Figures(
        {
            datacentre: count["in_time"] / count.total()
            for datacentre, count in sorted(count_by_datacentre.items())
        },
        moved / asked.total(),
        sum(max(0, size - even) for size in asked.values()) / asked.total(),
    )


def switch_on(site):
    """Let all daemons send excess by what callers lose."""
    evenness.spread(site, datacentrechoice.DatacentreChoice)


WAYS = evenness.switch_on, switch_on, evenness.know_all


def main(*seeds):
    """Print the figures of plays evenly, with excess sent, knowing all."""
    for seed in seeds:
        for prepare in WAYS:
            site = play(work(), 0.85, int(seed), prepare)
            found = figures(site)
            print(
                seed,
                prepare.__module__.rpartition(".")[2],
                prepare.__name__,
                {name: round(p, 4) for name, p in found.in_time.items()},
                f"worst {found.worst:.4f} moved {found.moved:.4f} "
                f"needed {found.needed:.4f}",
                flush=True,
            )


if __name__ == "__main__":
    main(*sys.argv[1:])
