"""Where the rest of a broken answer is asked for."""

from typing import NamedTuple


class NextAttempt(NamedTuple):
    """Ask an upstream for the answer from ``offset`` on.

    ``never`` names upstreams that contradicted the relayed text; they are
    not asked again.  ``avoid`` names those whose stream broke; they are
    asked only when there is no other.
    """

    offset: int
    excluded: tuple[str, ...] = ()
    avoided: tuple[str, ...] = ()
