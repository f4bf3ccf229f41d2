"""What one request of an experiment came to."""

from typing import NamedTuple


class Sample(NamedTuple):
    """Times in ms; ``at`` counts from the start of the load.

    ``right`` tells that a whole answer was word for word its own;
    ``first`` is -1 without a token; ``gap`` is the longest between two.
    ``kind`` is the refusal's, empty for none; ``ran`` is its word.
    """

    at: float
    team: str
    status: int
    whole: bool
    right: bool
    first: float
    gap: float
    took: float
    kind: str = ""
    ran: str = ""
    retry_after: int = 0
