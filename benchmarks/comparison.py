"""What comparing a table with the store's costs, by its number of rows."""

from collections.abc import Iterator

import msgspec

from benchmarks import figure
from benchmarks import timing
from citronvalve.storage import rows
from citronvalve.storage import versionindex

_SIZES = (70, 220, 12_000)

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


def run() -> Iterator[figure.Figure]:
    """Yield the time of a whole comparison, of an update, and the bytes."""
    for size in _SIZES:
        found = tuple(
            rows.Row("list", f"i-{n:010x}", _ENTRY, n) for n in range(size)
        )
        held = versionindex.VersionIndex()
        held.update(found)
        changed = found[:1]
        bytes_read = len(msgspec.json.encode(found))
        yield figure.Figure(
            f"compare {size} rows",
            timing.least_ms(
                lambda held=held, found=found: held.difference(found)
            ),
            "ms",
        )
        yield figure.Figure(
            f"digest of one change in {size} rows",
            timing.least_ms(
                lambda held=held, changed=changed: held.update(changed)
            ),
            "ms",
        )
        yield figure.Figure(f"{size} rows, read whole", bytes_read, "bytes")
