"""Which upstream gets a request."""

import abc
import collections.abc
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import candidate
from citronvalve.policy import freeslots

#: Draws in one tier before all of it is looked through; only upstreams
#: that this request may not use make a draw fail.
_MAX_DRAWS = 6

#: Likely holders of the prompt's prefix that are weighed as well.
_MAX_HOLDERS = 2

#: Time in ms to read one token of a prompt that is not cached: what a
#: wrong guess costs, so it only has to be of the right size.
_PREFILL_MS_PER_TOKEN = 0.1


#: Times in ms there and back, by tier, until they are measured: the data
#: centres of one region are about a millisecond apart one way.
ROUND_TRIP_BY_TIER: tuple[clock.Ms, ...] = (0, 2, 60)


class PlacementRequest(NamedTuple):
    """What placement needs to know of a request.

    ``allows`` tells whether limits, earlier attempts and suspects let it
    go to a candidate; ``belief_by_name`` are likely holders of its prefix;
    ``service`` is its expected service time in ms.
    """

    allows: collections.abc.Callable[[candidate.Candidate], bool]
    cache_probability_by_name: dict[str, float]
    prompt_tokens: int
    service: clock.Ms


class Placement(abc.ABC):
    """A way to choose; it sees loads that are seconds old."""

    @abc.abstractmethod
    def pick(
        self,
        index: freeslots.FreeSlotIndex,
        holders: collections.abc.Iterable[candidate.Candidate],
        request: PlacementRequest,
        rng: random.Random,
    ) -> candidate.Candidate | None:
        """Return an upstream with room, or None.

        :param index: who may have room.
        :param holders: likely holders of the prompt's prefix.
        :param wish: the request.
        :param rng: source of chance.
        """


def placement_cost(
    item: candidate.Candidate, request: PlacementRequest, round_trip: clock.Ms
) -> float:
    """Return what an upstream would cost the caller, as ms.

    The load counts as a part of the service time, since an engine that
    batches more gives each request less; the weight of the table divides
    it, so that twice the weight draws about twice the work.

    :param item: the upstream.
    :param wish: the request.
    :param distance: ms there and back.
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
    """The better of two drawn by chance, and of likely holders.

    Made for reports that are seconds old and many daemons that decide on
    the same ones: the best of all would be the same for each of them, and
    they would all send there until the next report.

    :param distance_by_tier: ms there and back, by tier.
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
        """Return the cheapest of a few, or None when nobody has room."""
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
        # Limits or earlier attempts rule most of them out: look at each,
        # since "nobody has room" would be told to the caller.
        return [
            item
            for item in index.in_tier(tier)
            if item.has_free_slot() and request.allows(item)
        ]
