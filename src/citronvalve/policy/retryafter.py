"""The delay after which a rejected caller should retry."""

import random

from citronvalve.model import clock

#: Shortest delay.  A caller that retries earlier finds the load unchanged
#: and only causes another rejection.
_MIN_DELAY: clock.Ms = 500

#: Longest delay.  The load can't be predicted further ahead.
_MAX_DELAY: clock.Ms = 30_000


def retry_after(excess: clock.Ms, rng: random.Random) -> clock.Ms:
    """Return a randomized ``Retry-After`` in ms.

    Callers that are rejected in one burst and get the same delay would come
    back in one burst again.  The delays are spread over one to three times
    the time that the excess takes to drain.

    :param excess: ms by which the request would have been late.
    :param rng: random source.
    """
    base = min(max(excess, _MIN_DELAY), _MAX_DELAY)
    return round(base * rng.uniform(1, 3))
