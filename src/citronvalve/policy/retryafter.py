"""When a refused caller should come back."""

import random

from citronvalve.model import clock

#: Least time to stay away.  A caller told less comes back before anything
#: has changed, and each return costs the system a refusal.
_MIN_DELAY: clock.Ms = 500

#: Longest time.  Nothing is known of the load that far ahead.
_MAX_DELAY: clock.Ms = 30_000


def retry_after(excess: clock.Ms, rng: random.Random) -> clock.Ms:
    """Return a spread-out ``Retry-After`` in ms.

    Made for bursts: callers refused together and told the same time come
    back together and are refused together.  They are spread over one to
    three times the time that the excess takes to drain.

    :param excess: ms by which the work would have been late.
    :param rng: source of chance.
    """
    base = min(max(excess, _MIN_DELAY), _MAX_DELAY)
    return round(base * rng.uniform(1, 3))
