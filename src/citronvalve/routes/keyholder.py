"""The team that an API key belongs to."""

from typing import NamedTuple


class KeyHolder(NamedTuple):
    """Name and priority of a team; None if no priority is declared.

    ``weight``, above 0, is that of its share of a full replica pool.
    """

    name: str
    priority: int | None = None
    weight: float = 1.0
