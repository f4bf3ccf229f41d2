"""A queue of updates that are sent to several peers each."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from typing import Any


class UpdateQueue:
    """A bounded queue of the keys of records to send.

    Each key is sent a few times, oldest first.  The queue holds keys, not
    copies, so a record that changes is sent in its newest form.  On a slow
    network records get older, but the queue doesn't get longer.

    :param max_keys: keys held; beyond it the first one is dropped, which the
        next change or refresh repairs.
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
        """Queue a key, or reset its count if it is already queued.

        :param key: key of the record to send.
        :param transmissions: how many messages carry it.
        :param urgent: whether it goes before all others.
        """
        self._remaining_by_key[key] = transmissions
        if urgent:
            self._remaining_by_key.move_to_end(key, last=False)
        if len(self._remaining_by_key) > self._max_keys:
            self._remaining_by_key.popitem(last=False)

    def record_duplicate(self, key: Hashable) -> None:
        """Count one transmission less, since a peer sent the same record.

        :param key: key of the record.
        """
        remaining = self._remaining_by_key.get(key)
        if remaining is not None:
            self._count_down(key, remaining)

    def take(self, max_records: int, record: Callable[[Any], Any]) -> tuple:
        """Take records for one message.

        :param max_records: records that fit into the message.
        :param record: returns the current record of a key, or ``None``.
        """
        taken = []
        for key in list(self._remaining_by_key)[:max_records]:
            current = record(key)
            if current is None:
                del self._remaining_by_key[key]
                continue
            taken.append(current)
            self._count_down(key, self._remaining_by_key[key])
            if key in self._remaining_by_key:
                self._remaining_by_key.move_to_end(key)
        return tuple(taken)

    def _count_down(self, key: Hashable, remaining: int) -> None:
        if remaining > 1:
            self._remaining_by_key[key] = remaining - 1
        else:
            del self._remaining_by_key[key]
