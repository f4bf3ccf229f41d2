"""Selection of the upstream for a request."""

import abc
import collections.abc
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import candidate
from citronvalve.policy import freeslots

#: Draws in one tier before all of it is searched.  A draw fails only for
#: upstreams that the request may not use.
_MAX_DRAWS = 6

#: Likely holders of the prompt's prefix that are compared as well.
_MAX_HOLDERS = 2

#: Time to prefill one token that is not cached.  It only has to be of the
#: right order of magnitude.
_PREFILL_MS_PER_TOKEN = 0.1


#: Assumed round-trip times by tier.  The data centres of one region are
#: about a millisecond apart one way.
ROUND_TRIP_BY_TIER: tuple[clock.Ms, ...] = (0, 2, 60)


class PlacementRequest(NamedTuple):
    """The properties of a request that placement depends on.

    ``allows`` returns whether limits, earlier attempts and suspects permit
    a candidate.  ``cache_probability_by_name`` has the likely holders of
    the request's prefix, and ``service`` is its expected service time in ms.
    """

    allows: collections.abc.Callable[[candidate.Candidate], bool]
    cache_probability_by_name: dict[str, float]
    prompt_tokens: int
    service: clock.Ms


class Placement(abc.ABC):
    """A placement strategy; the loads it uses are seconds old."""

    @abc.abstractmethod
    def pick(
        self,
        index: freeslots.FreeSlotIndex,
        holders: collections.abc.Iterable[candidate.Candidate],
        request: PlacementRequest,
        rng: random.Random,
    ) -> candidate.Candidate | None:
        """Return an upstream with a free slot, or None.

        :param index: the upstreams that may have free slots.
        :param holders: likely holders of the prompt's prefix.
        :param request: the request.
        :param rng: random source.
        """


def placement_cost(
    item: candidate.Candidate, request: PlacementRequest, round_trip: clock.Ms
) -> float:
    """Return the estimated delay of a request at an upstream in ms.

    The load adds a part of the service time, since requests in a larger
    batch are slower.  It is divided by the declared weight, so that twice
    the weight attracts about twice the requests.

    :param item: the upstream.
    :param request: the request.
    :param round_trip: round-trip time in ms.
    """
    upstream = item.upstream
    load = (item.running + 1) / (upstream.slots * upstream.weight)
    cache_probability = request.cache_probability_by_name.get(item.name, 0.0)
    prefill = (
        request.prompt_tokens
        * _PREFILL_MS_PER_TOKEN
        * (1.0 - cache_probability)
    )
    return load * request.service + prefill + round_trip


class TwoChoices(Placement):
    """The power of two choices, with likely prefix holders added.

    Many daemons decide on the same reports, which are seconds old.  If each
    took the best of all upstreams, they would all send their requests there
    until the next report.

    :param round_trip_by_tier: round-trip times in ms, by tier.
    """

    def __init__(self, round_trip_by_tier: tuple[clock.Ms, ...]) -> None:
        self._round_trip_by_tier = round_trip_by_tier

    def pick(
        self,
        index: freeslots.FreeSlotIndex,
        holders: collections.abc.Iterable[candidate.Candidate],
        request: PlacementRequest,
        rng: random.Random,
    ) -> candidate.Candidate | None:
        """Return the cheapest of a few, or None without a free slot."""
        drawn: list[candidate.Candidate] = []
        for tier in range(freeslots.TIERS):
            drawn = self._draw(index, tier, request, rng)
            if drawn:
                break
        likely = [
            item
            for item in holders
            if item.has_free_slot() and request.allows(item)
        ]
        drawn += likely[:_MAX_HOLDERS]
        if not drawn:
            return None
        return min(drawn, key=lambda item: self._cost(item, request))

    def _cost(
        self, item: candidate.Candidate, request: PlacementRequest
    ) -> float:
        return placement_cost(
            item, request, self._round_trip_by_tier[item.tier]
        )

    def _draw(
        self,
        index: freeslots.FreeSlotIndex,
        tier: int,
        request: PlacementRequest,
        rng: random.Random,
    ) -> list[candidate.Candidate]:
        found: list[candidate.Candidate] = []
        for _ in range(_MAX_DRAWS):
            item = index.draw(tier, rng)
            if item is None:
                return found
            if request.allows(item):
                found.append(item)
            if len(found) == 2:
                return found
        if found:
            return found
        # Limits or earlier attempts exclude most of them.  Check each one,
        # since the caller is rejected if none is found.
        return [
            item
            for item in index.in_tier(tier)
            if item.has_free_slot() and request.allows(item)
        ]
