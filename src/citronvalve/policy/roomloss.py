"""What callers lose at the replicas of a model in one data centre."""

from collections.abc import Iterable
from typing import NamedTuple

#: Free slots that a data centre keeps for its own daemons, in what they renew
#: unseen.
_KEPT = 2.5

#: Growth of the part with what is gained.
_GAIN = 3.0


class Room(NamedTuple):
    """Slots of a model's replicas, as known from reports.

    Of its slots, ``taken`` have a request and ``free`` have none.
    """

    taken: float
    free: float


#: No replica.
NONE = Room(0.0, 0.0)


def measure(loads: Iterable[float], slots: int) -> Room:
    """Return the room of replicas.

    :param loads: requests at each replica.
    :param slots: requests that a replica runs at once.
    """
    taken = free = 0.0
    for load in loads:
        taken += min(load, slots)
        free += max(0.0, slots - load)
    return Room(taken, free)


def remaining(room: Room, renewed: float) -> float:
    """Return the free slots that a data centre has for others.

    :param room: the room.
    :param renewed: part of the taken slots that gets a new request between
        a report and a choice by it.
    """
    return max(0.0, room.free - _KEPT * renewed * room.taken)


def loss(room: Room, renewed: float) -> float:
    """Return the chance that a slot that seems free is taken.

    :param room: the room.
    :param renewed: as in :func:`remaining`.
    """
    if not room.free:
        return 1.0
    return min(1.0, renewed * room.taken / room.free)


def part_elsewhere(here: float, there: float, cost: float) -> float:
    """Return the part of requests that go to another data centre.

    It grows with what they gain, so that daemons with equal reports don't
    all turn at once.

    :param here: the loss in the data centre.
    :param there: the loss in the other one.
    :param cost: what the way there costs a request, as a loss.
    """
    return min(1.0, max(0.0, _GAIN * (here - there - cost)))
