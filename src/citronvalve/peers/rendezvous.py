"""Rendezvous hashing: who keeps what, worked out alike by every member."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order members for a key, the keeper first.

    A member that goes moves only its own keys, each to the next in rank.

    :param key: what is kept.
    :param names: the members to choose from.
    """
    return sorted(names, key=lambda n: _weight(key, n), reverse=True)


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the keeper of a key, or ``None`` where there is no member.

    :param key: what is kept.
    :param names: the members to choose from.
    """
    return max(names, key=lambda n: _weight(key, n), default=None)


def _weight(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name
