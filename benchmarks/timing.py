"""How long a call takes."""

from collections.abc import Callable
import time

#: Ms in a second.
MS = 1_000

#: Time for each figure in s.
_SPAN = 0.5


def least_ms(run: Callable[[], object]) -> float:
    """Return the least time of a call in ms; the rest is other work.

    :param run: called again and again.
    """
    best = float("inf")
    until = time.perf_counter() + _SPAN
    while time.perf_counter() < until:
        began = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - began)
    return best * MS
