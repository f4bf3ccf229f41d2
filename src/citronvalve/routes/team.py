"""Declared teams."""

from typing import NamedTuple


class Team(NamedTuple):
    """A team and its API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    weight: float = 1.0
