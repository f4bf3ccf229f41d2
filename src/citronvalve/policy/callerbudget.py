"""A budget of bytes that a daemon holds for its callers."""

from collections.abc import Hashable
import itertools
from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import memoryaccount

#: Callers that are compared, those that hold any for longest.
_MAX_COMPARED = 128


class Held(NamedTuple):
    """What one caller holds: bytes, and since when any, in monotonic ms."""

    size: int
    since: clock.Ms


class Ended(NamedTuple):
    """A caller that is to be ended, and what it held."""

    caller: Any
    held: Held


class CallerBudget:
    """Bytes that all callers of a daemon share; they never exceed it.

    Once it is used up, the caller that holds most for longest, by the product
    of both, is to be ended first.  What is settled counts, but its caller
    can't be ended any more.

    :param most: bytes.
    :param account: counts them, too.
    :param part: the part of the account.
    :param yields: whether it also counts as used up once the whole account
        is.
    """

    def __init__(
        self,
        most: int,
        account: memoryaccount.MemoryAccount,
        part: memoryaccount.Part = memoryaccount.Part.UNSENT,
        yields: bool = False,
    ) -> None:
        self.most = most
        self._account = account
        self._part = part
        self._yields = yields
        # Ordered by the time since when they hold any.
        self._held_by_caller: dict[Hashable, Held] = {}
        self._settled_by_caller: dict[Hashable, int] = {}

    @property
    def used(self) -> int:
        """Return the bytes that are held."""
        return self._account.bytes_of(self._part)

    @property
    def holders(self) -> int:
        """Return how many callers hold any that is not settled."""
        return len(self._held_by_caller)

    def held(self, caller: Hashable) -> Held | None:
        """Return what a caller holds unsettled, None if that is nothing.

        :param caller: its connection.
        """
        return self._held_by_caller.get(caller)

    def take(self, caller: Hashable, size: int, now: clock.Ms) -> list[Ended]:
        """Take bytes for a caller.

        :param caller: its connection.
        :param size: bytes.
        :param now: monotonic ms.
        :returns: the callers to be ended, whose bytes have been given back;
            the same caller may be one of them.
        """
        held = self._held_by_caller.get(caller, Held(0, now))
        mine = Held(held.size + size, held.since)
        ended: list[Ended] = []
        while not self._has_room(size):
            worst = self._find_worst(Ended(caller, mine), now)
            self.drop(worst.caller)
            ended.append(worst)
            if worst.caller is caller:
                return ended
        self._held_by_caller[caller] = mine
        self._account.add(self._part, size)
        return ended

    def give(self, caller: Hashable, size: int) -> None:
        """Give back what a caller has read.

        :param caller: its connection.
        :param size: bytes, at most those that it holds.
        """
        held = self._held_by_caller[caller]
        if held.size == size:
            del self._held_by_caller[caller]
        else:
            left = held._replace(size=held.size - size)
            self._held_by_caller[caller] = left
        self._account.add(self._part, -size)

    def settle(self, caller: Hashable, size: int) -> None:
        """Keep bytes for a caller that is not to be ended for them.

        :param caller: its connection.
        :param size: bytes, in place of all that it holds.
        """
        self.drop(caller)
        if size:
            self._settled_by_caller[caller] = size
            self._account.add(self._part, size)

    def drop(self, caller: Hashable) -> None:
        """Give back all that a caller holds.

        :param caller: its connection.
        """
        held = self._held_by_caller.pop(caller, None)
        size = held.size if held is not None else 0
        size += self._settled_by_caller.pop(caller, 0)
        if size:
            self._account.add(self._part, -size)

    def _has_room(self, size: int) -> bool:
        if self._yields and self._account.is_full:
            return False
        return self.used + size <= self.most

    def _find_worst(self, taker: Ended, now: clock.Ms) -> Ended:
        worst, weight = taker, _weight(taker.held, now)
        oldest = itertools.islice(self._held_by_caller.items(), _MAX_COMPARED)
        for caller, held in oldest:
            if caller is not taker.caller and _weight(held, now) > weight:
                worst, weight = Ended(caller, held), _weight(held, now)
        return worst


def _weight(held: Held, now: clock.Ms) -> int:
    # Callers that have just begun to hold differ by their bytes.
    return held.size * (now - held.since + 1)
