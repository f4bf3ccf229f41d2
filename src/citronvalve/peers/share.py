"""The fixed share of a limit that each known member stands for."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.peers import rendezvous


class Place(NamedTuple):
    """A daemon's rank among all that share something, and their number."""

    rank: int
    members: int


#: Starts the names that stand for members never heard of.
_PLACEHOLDER_PREFIX = "?"


def pad_members(known: frozenset[str], expected: int) -> frozenset[str]:
    """Add members that were never heard of, up to the expected number.

    Two daemons that both start anew on the smaller side of a cut know only
    each other.  The number that operators expect keeps them from taking
    themselves for the whole data centre.

    :param known: all members heard of.
    :param expected: how many there should be; 0 when nobody says.
    """
    unmet = range(expected - len(known))
    return known | {f"{_PLACEHOLDER_PREFIX}{number}" for number in unmet}


def split_limit(key: str, limit: int, known: Iterable[str]) -> dict[str, int]:
    """Split a limit over members; the shares add up to it at most.

    :param key: what is limited; its ranking takes the remainder.
    :param limit: slots in all.
    :param known: all members, the silent ones too.
    """
    ranked = rendezvous.rank(key, known)
    if not ranked:
        return {}
    each, rest = divmod(limit, len(ranked))
    # The other side of a cut may rank real names where this one has none.
    # The remainder then goes to that side alone.
    if any(name.startswith(_PLACEHOLDER_PREFIX) for name in ranked):
        rest = 0
    return {name: each + (i < rest) for i, name in enumerate(ranked)}


def lendable_slots(
    key: str, limit: int, known: frozenset[str], seen: frozenset[str]
) -> int:
    """Return what a keeper may lend that sees only some of the members.

    Both sides of a cut inside a data centre have a keeper.  Each lends the
    shares of its own side, so that together they stay within the limit.

    :param key: what is limited.
    :param limit: slots in all.
    :param known: all members, the silent ones too.
    :param seen: the members alive in the keeper's view.
    """
    if seen >= known:
        return limit
    by_name = split_limit(key, limit, known)
    return sum(by_name[name] for name in seen & known)


def is_majority(key: str, known: frozenset[str], seen: frozenset[str]) -> bool:
    """Tell whether a side holds most members, or half and the first of them.

    At most one side of a cut does, so a limit that may not be split (a cold
    upstream bears one request) is lent on one side only.

    :param key: what is limited; its first in rank decides between halves.
    :param known: all members, the silent ones too.
    :param seen: the members alive in the keeper's view.
    """
    twice = 2 * len(seen & known)
    if twice != len(known):
        return twice > len(known)
    return rendezvous.first(key, known) in seen
