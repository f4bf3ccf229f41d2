"""Placement that looks at every upstream, to weigh two choices against."""

import collections.abc
import random

from citronvalve.policy import candidate
from citronvalve.policy import freeslots
from citronvalve.policy import placement


class FullScan(placement.Placement):
    """The cheapest of all that have room."""

    def pick(
        self,
        index: freeslots.FreeSlotIndex,
        holders: collections.abc.Iterable[candidate.Candidate],
        wish: placement.PlacementRequest,
        rng: random.Random,
    ) -> candidate.Candidate | None:
        found = [
            item
            for tier in range(freeslots.TIERS)
            for item in index.in_tier(tier)
            if item.has_free_slot() and wish.allows(item)
        ]
        return min(
            found,
            key=lambda item: placement.placement_cost(
                item, wish, placement.ROUND_TRIP_BY_TIER[item.tier]
            ),
            default=None,
        )
