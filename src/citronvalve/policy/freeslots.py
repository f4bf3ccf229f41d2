"""The upstreams of one model that may have free slots."""

import random

from citronvalve.policy import candidate

#: Tiers of distance: own data centre, own region, the rest.
TIERS = 3


class FreeSlotIndex:
    """Lists of upstreams by tier; full ones are removed when drawn.

    At saturation, a search through thousands of upstreams for the few with
    free slots would cost more than the request itself.
    """

    def __init__(self) -> None:
        self._items_by_tier: tuple[list[candidate.Candidate], ...]
        self._items_by_tier = tuple([] for _ in range(TIERS))
        self._position_by_name: dict[str, int] = {}

    def add(self, item: candidate.Candidate) -> None:
        """Add an upstream with a free slot, unless it is in the index.

        :param item: the upstream.
        """
        if item.name in self._position_by_name:
            return
        tier = self._items_by_tier[item.tier]
        self._position_by_name[item.name] = len(tier)
        tier.append(item)

    def remove(self, item: candidate.Candidate) -> None:
        """Remove an upstream, if it is in the index.

        :param item: the upstream.
        """
        position = self._position_by_name.pop(item.name, None)
        if position is None:
            return
        tier = self._items_by_tier[item.tier]
        last = tier.pop()
        if last is not item:
            tier[position] = last
            self._position_by_name[last.name] = position

    def draw(
        self, tier: int, rng: random.Random
    ) -> candidate.Candidate | None:
        """Return a random upstream with a free slot, or None.

        :param tier: the tier to draw from.
        :param rng: random source.
        """
        items = self._items_by_tier[tier]
        while items:
            # Faster than choice(), and close enough to uniform for so few.
            item = items[int(rng.random() * len(items))]
            if item.has_free_slot():
                return item
            self.remove(item)
        return None

    def in_tier(self, tier: int) -> list[candidate.Candidate]:
        """Return all upstreams of a tier that may have a free slot.

        :param tier: the tier to list.
        """
        return self._items_by_tier[tier]
