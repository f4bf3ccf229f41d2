"""The team that an API key belongs to."""

from typing import NamedTuple


class KeyHolder(NamedTuple):
    """Name and priority of a team; None if no priority is declared."""

    name: str
    priority: int | None = None
