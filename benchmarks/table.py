"""What the table costs by its number of rows: checks, reads, edits, bytes."""

from collections.abc import Callable
from collections.abc import Iterator
import random
import time
from typing import Any

import msgspec

from benchmarks import figure
from benchmarks import timing
from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.table import builder
from citronvalve.table import delta as deltas
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import editor
from citronvalve.table import follower
from citronvalve.table import layout
from citronvalve.table import planning
from citronvalve.table import reader
from citronvalve.table import rowedits
from standins import memorytable

_SIZES = (100, 1_000, 12_000)
_PLACES = 31
_BULKS = 5

Values = dict[str, dict[str, Any]]


def values(count: int) -> Values:
    """Return a table of which all but a few rows are upstreams.

    :param count: rows in all, about.
    """
    made: Values = {"models/m": {"name": "m"}}
    for place in range(_PLACES):
        made[f"datacentres/d{place}"] = {"name": f"d{place}"}
    for i in range(count - len(made)):
        made[f"upstreams/u{i}"] = {
            "name": f"u{i}",
            "datacentre": f"d{i % _PLACES}",
            "address": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8000",
            "kind": "engine",
            "serves": ["m"],
        }
    return made


def _stored(count: int) -> memorytable.MemoryTable:
    store = memorytable.MemoryTable()
    made = values(count)
    operator = _editor(store)
    keys = list(made)
    for first in range(0, len(keys), planning.MAX_CHANGES):
        until = first + planning.MAX_CHANGES
        some = {key: made[key] for key in keys[:until]}
        done = operator.apply(lambda stored, some=some: some, _AUTHOR)
        if not isinstance(done, edit.Accepted):
            raise RuntimeError(f"the table was not made: {done}")
    return store


_AUTHOR = edit.Author("bench", "bench")


def _editor(store: memorytable.MemoryTable) -> editor.Editor:
    return editor.Editor(store, clock.SystemClock(), random.Random(1))


def _edit(store: memorytable.MemoryTable) -> Callable:
    operator = _editor(store)

    def run() -> None:
        ramp = 1_000 + store.writes % 50_000
        wanted = rowedits.set_columns("upstreams/u1", {"ramp": ramp})
        done = operator.apply(wanted, _AUTHOR)
        if not isinstance(done, edit.Accepted):
            raise RuntimeError(f"the edit failed: {done}")

    return run


def _follow(store: memorytable.MemoryTable) -> float:
    """Return ms that a daemon spends on one edit of one row."""
    following = follower.Follower(invariant.Invariants())
    seen = reader.read_state(store)
    full = deltas.Delta(0, seen.revision, tuple(seen.row_by_key.values()))
    following.apply_delta(full)
    row = seen.row_by_key["upstreams/u1"]
    head = seen.row_by_key[layout.HEAD]
    at = iter(range(1, 1 << 30))

    def run() -> None:
        more = next(at)
        to = seen.revision + more
        version = {**head.value, "version": seen.version + more}
        told = (
            row._replace(version=to),
            head._replace(value=version, version=to),
        )
        if not following.apply_delta(deltas.Delta(to - 1, to, told)):
            raise RuntimeError("the delta was not taken")

    return timing.least_ms(run)


def _bulk(store: memorytable.MemoryTable) -> float:
    """Return ms that a daemon stands still for the largest edit."""
    seen = reader.read_state(store)
    told = tuple(seen.row_by_key.values())
    first = deltas.Delta(0, seen.revision, told)
    head = seen.row_by_key[layout.HEAD]
    to = seen.revision + 1
    some = [r for r in told if r.value][1 : planning.MAX_CHANGES + 1]
    version = {**head.value, "version": seen.version + 1}
    more = [row._replace(version=to) for row in some if row is not head]
    more.append(head._replace(value=version, version=to))
    best = float("inf")
    for _ in range(_BULKS):
        following = follower.Follower(invariant.Invariants())
        following.apply_delta(first)
        began = time.perf_counter()
        following.apply_delta(deltas.Delta(to - 1, to, tuple(more)))
        best = min(best, time.perf_counter() - began)
    return best * timing.MS


def _bytes(store: memorytable.MemoryTable, after: int) -> int:
    return len(msgspec.json.encode(store.scan(layout.TABLE, after)))


def _size(count: int) -> Iterator[figure.Figure]:
    made = values(count)
    store = _stored(count)
    text = msgspec.json.encode(_sections(made)).decode()
    check = timing.least_ms(lambda: builder.build_full(made, 1))
    read = timing.least_ms(lambda: reader.read(store))
    edits = timing.least_ms(_edit(store))
    _edit(store)()
    last = store.read(layout.TABLE, layout.HEAD)
    at = f"at {count} rows"
    yield figure.Figure(
        f"read a file {at}", timing.least_ms(lambda: _parse(text)), "ms"
    )
    yield figure.Figure(f"check the whole table {at}", check, "ms")
    yield figure.Figure(f"read and check the whole table {at}", read, "ms")
    yield figure.Figure(
        f"follow an edit of one row {at}", _follow(store), "ms", read
    )
    yield figure.Figure(
        f"edits of one operator {at}", timing.MS / edits, "1/s"
    )
    yield figure.Figure(
        f"bytes of the whole table {at}", _bytes(store, 0), "B"
    )
    yield figure.Figure(
        f"bytes of a delta of one row {at}",
        _bytes(store, last.version - 1),
        "B",
        _bytes(store, 0),
    )


def _parse(text: str) -> document.Document:
    return document.parse(text, "bench")


def _sections(made: Values) -> dict[str, dict[str, Any]]:
    found: dict[str, dict[str, Any]] = {}
    for key, row in made.items():
        section, name = key.split(layout.SEPARATOR)
        found.setdefault(section, {})[name] = row
    return found


def run() -> Iterator[figure.Figure]:
    """Yield the figures of each size, and the slopes between the ends."""
    ends: dict[str, list[float]] = {}
    for count in _SIZES:
        for measured in _size(count):
            yield measured
            name = measured.name.partition(" at ")[0]
            ends.setdefault(name, []).append(measured.value)
    name = f"follow an edit of {planning.MAX_CHANGES} rows at {_SIZES[-1]}"
    yield figure.Figure(name, _bulk(_stored(_SIZES[-1])), "ms")
    for name, found in ends.items():
        if name.startswith(("edits", "bytes of a delta")):
            continue
        slope = (found[-1] - found[0]) / (_SIZES[-1] - _SIZES[0])
        unit = "B a row" if name.startswith("bytes") else "us a row"
        scale = 1 if name.startswith("bytes") else timing.MS
        yield figure.Figure(f"slope: {name}", slope * scale, unit)
