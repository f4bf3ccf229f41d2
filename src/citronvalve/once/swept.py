"""Result of one step of the sweep."""

from typing import NamedTuple


class Swept(NamedTuple):
    """A swept minute and the number of ``rows`` deleted."""

    minute: int
    rows: int
