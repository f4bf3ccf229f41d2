"""The part of a model's replicas that one daemon uses first."""

from collections.abc import Sequence
import math
from typing import NamedTuple

#: Replicas for each daemon from which on none is cut.
_WHOLE_FROM = 2.0

#: Parts below this come from rounding.
_LEAST_PART = 1e-6


class Turn(NamedTuple):
    """The place of a daemon among the ``daemons`` of its data centre."""

    position: int
    daemons: int


#: A daemon that knows of no other.
ALONE = Turn(0, 1)


def shares(turn: Turn, upstreams: Sequence[str]) -> dict[str, float]:
    """Return how much of each replica belongs to a daemon.

    The replicas, in the order of their ids, are cut into parts of one size,
    one for each daemon.  With several replicas for each daemon the cuts are
    between replicas: one daemon then counts nearly all requests there.

    :param turn: the daemon's place.
    :param upstreams: ids of the open replicas of a model in its data centre.
    :returns: parts of 1 by id, without those that it has no part of.
    """
    ordered = sorted(upstreams)
    width = len(ordered) / turn.daemons
    begin = turn.position * width
    end = begin + width
    if width >= _WHOLE_FROM:
        begin, end = math.ceil(begin), math.ceil(end)
    last = min(len(ordered), math.ceil(end))
    part_by_upstream = {
        ordered[index]: min(end, index + 1) - max(begin, index)
        for index in range(math.floor(begin), last)
    }
    return {
        upstream: part
        for upstream, part in part_by_upstream.items()
        if part > _LEAST_PART
    }
