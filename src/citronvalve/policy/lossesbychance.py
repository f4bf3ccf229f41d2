"""Estimates of how many losses of a content may be by chance."""

from collections.abc import Callable

from citronvalve.policy import crashevidence

#: Estimates that are kept, the newest ones.
_MAX_ESTIMATES = 4_096


class LossesByChance:
    """Keeps one estimate for the same losses."""

    def __init__(self) -> None:
        self._by_starts: dict[frozenset[int], int] = {}

    def find(
        self,
        losses: list[crashevidence.Loss],
        estimate: Callable[[], int],
    ) -> int:
        """Return how many of some losses may be by chance.

        :param losses: that count against a content.
        :param estimate: returns how many, if that is not known yet.
        """
        starts = frozenset(loss.start for loss in losses)
        found = self._by_starts.get(starts)
        if found is None:
            found = self._by_starts[starts] = estimate()
            if len(self._by_starts) > _MAX_ESTIMATES:
                del self._by_starts[next(iter(self._by_starts))]
        return found
