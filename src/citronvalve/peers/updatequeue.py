"""Records waiting to be passed on, each a few times."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from typing import Any


class UpdateQueue:
    """A queue of keys to tell, bounded by the number of keys.

    Each key is told a few times, oldest first.  A record that changes
    meanwhile is told in its newest form: the queue holds keys, not copies,
    so that a slow network makes records older and not the queue longer.

    :param most: keys held; beyond it the oldest is dropped, and repaired
        by the next change or refresh.
    """

    def __init__(self, max_keys: int = 4_096) -> None:
        self._max_keys = max_keys
        self._remaining_by_key: collections.OrderedDict[Hashable, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._remaining_by_key)

    def put(
        self, key: Hashable, transmissions: int, urgent: bool = False
    ) -> None:
        """Queue a key, afresh if it is queued already.

        :param key: what to tell.
        :param times: how many messages shall carry it.
        :param urgent: whether it goes before all others.
        """
        self._remaining_by_key[key] = transmissions
        if urgent:
            self._remaining_by_key.move_to_end(key, last=False)
        if len(self._remaining_by_key) > self._max_keys:
            self._remaining_by_key.popitem(last=False)

    def record_duplicate(self, key: Hashable) -> None:
        """Note that another told the same: one telling fewer is needed.

        :param key: what was told.
        """
        left = self._remaining_by_key.get(key)
        if left is not None:
            self._count_down(key, left)

    def take(self, max_records: int, record: Callable[[Any], Any]) -> tuple:
        """Take records for one message.

        :param most: records that the message has room for.
        :param record: gives the present record of a key, or ``None``.
        """
        taken = []
        for key in list(self._remaining_by_key)[:max_records]:
            found = record(key)
            if found is None:
                del self._remaining_by_key[key]
                continue
            taken.append(found)
            self._count_down(key, self._remaining_by_key[key])
            if key in self._remaining_by_key:
                self._remaining_by_key.move_to_end(key)
        return tuple(taken)

    def _count_down(self, key: Hashable, left: int) -> None:
        if left > 1:
            self._remaining_by_key[key] = left - 1
        else:
            del self._remaining_by_key[key]
