"""Entries that another writer leaves among those of the runners."""

from typing import Any
from typing import NamedTuple

from standins import rowstore
from standins.soak import operator as operators

#: Key of the entry; runners' names begin with their zone.
KEY = "odd"

_TABLE = "servers"
_DEPTH = 20_000

_DESK: dict[str, Any] = {
    "Service": operators.DESK,
    "Address": "127.0.0.1:80",
    "Zone": "zone-a",
    "Slots": 6,
    "State": "ready",
    "born": 1_700_000_000_000,
}
_MODEL = _DESK | {"Service": operators.MODELS, "Domain": "zone-a-0"}
_GROUP = {"Name": "large~1", "epoch": 2**63, "rank": 0, "State": "open"}


class OddEntry(NamedTuple):
    """An entry, as a value or as bytes."""

    value: dict[str, Any]
    raw: bytes = b""

    def put(self, store: rowstore.RowStore) -> None:
        """Write it.

        :param store: the platform's store.
        """
        store.put(_TABLE, KEY, self.value, self.raw)


BY_NAME = {
    "nested 20000 deep": OddEntry({}, b"[" * _DEPTH + b"]" * _DEPTH),
    "nested without an end": OddEntry({}, b'{"group":' * _DEPTH),
    "at the port 99999": OddEntry(_DESK | {"Address": "127.0.0.1:99999"}),
    "at a host with a NUL byte": OddEntry(_DESK | {"Address": "12\0.0.1:80"}),
    "of a start beyond 63 bits": OddEntry(_DESK | {"born": 2**64 - 1}),
    "of an epoch beyond 63 bits": OddEntry(_MODEL | {"group": _GROUP}),
}


def drop(store: rowstore.RowStore) -> None:
    """Drop the entry.

    :param store: the platform's store.
    """
    store.drop(_TABLE, KEY)
