"""What comparing a table with the store's costs, by its number of rows."""

from collections.abc import Callable
from collections.abc import Iterator
import time

import msgspec

from benchmarks import figure
from citronvalve.storage import mirror
from citronvalve.storage import rows

_SIZES = (70, 220, 12_000)
_MS = 1_000

#: Time for each figure in s.
_SPAN = 0.5

_ENTRY = {
    "Service": "model",
    "Address": "10.1.64.36:8760",
    "Zone": "zone-a",
    "Domain": "17",
    "State": "ready",
    "Slots": 13,
    "Staged": ["large"],
    "group": {"Name": "g-17", "epoch": 100_001, "rank": 3, "State": "open"},
    "born": 1_791_239_588_280,
}


def _ms(run: Callable[[], object]) -> float:
    """Return the least time of a call in ms; the rest is other work."""
    best = float("inf")
    until = time.perf_counter() + _SPAN
    while time.perf_counter() < until:
        began = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - began)
    return best * _MS


def run() -> Iterator[figure.Figure]:
    """Yield the time of a whole comparison, of an update, and the bytes."""
    for size in _SIZES:
        found = tuple(
            rows.Row("list", f"i-{n:010x}", _ENTRY, n) for n in range(size)
        )
        held = mirror.Mirror()
        held.update(found)
        changed = found[:1]
        bytes_read = len(msgspec.json.encode(found))
        yield figure.Figure(
            f"compare {size} rows",
            _ms(lambda held=held, found=found: held.difference(found)),
            "ms",
        )
        yield figure.Figure(
            f"digest of one change in {size} rows",
            _ms(lambda held=held, changed=changed: held.update(changed)),
            "ms",
        )
        yield figure.Figure(f"{size} rows, read whole", bytes_read, "bytes")
