"""Splits a limit into fixed shares of the known members."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.peers import rendezvous


class MemberRank(NamedTuple):
    """A daemon's rank among the members that share a resource."""

    rank: int
    members: int


#: Prefix of the names of placeholders for members that are not known.
_PLACEHOLDER_PREFIX = "?"


def pad_members(known: frozenset[str], expected: int) -> frozenset[str]:
    """Add placeholders for unknown members, up to the expected number.

    Two daemons that restart on the smaller side of a network partition know
    only each other.  With the configured number they don't consider
    themselves the whole data centre.

    :param known: all known members.
    :param expected: the configured number of members, or 0.
    """
    missing = range(expected - len(known))
    return known | {f"{_PLACEHOLDER_PREFIX}{number}" for number in missing}


def split_limit(key: str, limit: int, known: Iterable[str]) -> dict[str, int]:
    """Split a limit over members; the shares add up to at most the limit.

    :param key: the limit's key; the remainder goes to the first in its rank.
    :param limit: total slots.
    :param known: all members, also unreachable ones.
    """
    ranked = rendezvous.rank(key, known)
    if not ranked:
        return {}
    each, remainder = divmod(limit, len(ranked))
    # With placeholders the ranking may differ from that on the other side of
    # a network partition, so only a side that knows all members assigns the
    # remainder.
    if any(name.startswith(_PLACEHOLDER_PREFIX) for name in ranked):
        remainder = 0
    return {
        name: each + (index < remainder) for index, name in enumerate(ranked)
    }


def lendable_slots(
    key: str, limit: int, known: frozenset[str], reachable: frozenset[str]
) -> int:
    """Return how many slots a lender may lend that reaches some members.

    Each side of a network partition in a data centre has a lender.  It lends
    the shares of its own side, so that all sides together stay within the
    limit.

    :param key: the limit's key.
    :param limit: total slots.
    :param known: all members, also unreachable ones.
    :param reachable: the members alive in the lender's view.
    """
    if reachable >= known:
        return limit
    share_by_name = split_limit(key, limit, known)
    return sum(share_by_name[name] for name in reachable & known)


def is_majority(
    key: str, known: frozenset[str], reachable: frozenset[str]
) -> bool:
    """Return whether a side has most members, or half with the first of them.

    At most one side of a network partition has, so a limit that can't be
    split, such as that of a cold upstream with a capacity of one request, is
    lent on one side only.

    :param key: the limit's key; its first in rank decides between halves.
    :param known: all members, also unreachable ones.
    :param reachable: the members alive in the lender's view.
    """
    doubled = 2 * len(reachable & known)
    if doubled != len(known):
        return doubled > len(known)
    return rendezvous.first(key, known) in reachable
