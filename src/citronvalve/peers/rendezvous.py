"""Rendezvous hashing, by which all members choose the same coordinator."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order members for a key, the coordinator first.

    When a member leaves, only its own keys move, each to the next in rank.

    :param key: the key to coordinate.
    :param names: the members to choose from.
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the coordinator of a key, or ``None`` if there is no member.

    :param key: the key to coordinate.
    :param names: the members to choose from.
    """
    return max(names, key=lambda name: _weight(key, name), default=None)


def _weight(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name
