"""Where the next attempt of a request starts, and where it may go."""

from typing import NamedTuple


class NextAttempt(NamedTuple):
    """Start offset of an attempt, and the upstreams that it should skip.

    ``offset`` counts the characters of the answer before the attempt.
    ``excluded`` names upstreams that contradicted relayed text; they are
    never used.  ``avoided`` names upstreams that failed; they are used only
    when there is no other.
    """

    offset: int
    excluded: tuple[str, ...] = ()
    avoided: tuple[str, ...] = ()
