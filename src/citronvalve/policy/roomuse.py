"""How evenly the replicas of a model are used."""

from collections.abc import Iterable
import statistics
from typing import NamedTuple


class RoomUse(NamedTuple):
    """Use of replicas; 1 is all slots, more is a queue.

    ``mean`` and ``deviation`` are of the replicas' uses.
    """

    replicas: int
    mean: float
    deviation: float


def measure(loads: Iterable[float], slots: int) -> RoomUse:
    """Return the use of replicas.

    :param loads: requests at each replica.
    :param slots: requests that a replica runs at once.
    """
    uses = [load / max(1, slots) for load in loads]
    if not uses:
        return RoomUse(0, 0.0, 0.0)
    return RoomUse(len(uses), statistics.fmean(uses), statistics.pstdev(uses))


def is_news(old: RoomUse | None, new: RoomUse) -> bool:
    """Return whether an operator would want to see a change.

    :param old: as last shown, None if it was not.
    :param new: as measured.
    """
    if old is None:
        return True
    return old.replicas != new.replicas or any(
        abs(before - after) >= _SHOWN_CHANGE
        for before, after in zip(old[1:], new[1:], strict=True)
    )


#: Smaller changes of a use are not shown.
_SHOWN_CHANGE = 0.1
