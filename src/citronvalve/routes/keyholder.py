"""A team as the declared keys know it."""

from typing import NamedTuple


class KeyHolder(NamedTuple):
    """A team and its rank; ``priority`` is None where none is declared."""

    name: str
    priority: int | None = None
