"""What one step of the sweep did."""

from typing import NamedTuple


class Swept(NamedTuple):
    """A minute whose rows are gone; ``rows`` counts those deleted."""

    minute: int
    rows: int
