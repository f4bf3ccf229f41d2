"""Encodes audit entries as stored rows, and reads them back."""

from collections.abc import Iterator
from typing import Any

import msgspec

from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice
from citronvalve.table import edit
from citronvalve.table import layout

#: Changes per stored row in bytes; a larger entry is split into parts.
#: Transactional stores commonly reject rows above a few hundred KB.
MAX_PART_BYTES = 64 * 1024


def entry_writes(entry: edit.Entry) -> Iterator[rows.Write]:
    """Yield the writes that store an entry.

    :param entry: the complete entry.
    """
    parts = list(_split_changes(entry.changes))
    value = entry._asdict() | {
        "changes": parts[0] if parts else [],
        "parts": max(len(parts), 1),
    }
    yield rows.Write(layout.AUDIT, layout.audit_key(entry.version), value)
    for index, part in enumerate(parts[1:], start=1):
        key = layout.audit_key(entry.version, index)
        yield rows.Write(layout.AUDIT, key, {"changes": part})


def _split_changes(changes: tuple[edit.Change, ...]) -> Iterator[list[Any]]:
    part: list[Any] = []
    size = 0
    for change in changes:
        change_size = len(msgspec.json.encode(change))
        if part and size + change_size > MAX_PART_BYTES:
            yield part
            part, size = [], 0
        part.append(list(change))
        size += change_size
    if part:
        yield part


def read(
    service: tableservice.TableService, version: int
) -> edit.Entry | missing.NotFound | missing.Unavailable:
    """Return the entry of one version.

    :param service: the platform's table service.
    :param version: the version that the edit created.
    """
    row = service.read(layout.AUDIT, layout.audit_key(version))
    if missing.is_missing(row):
        return row
    value = dict(row.value)
    changes = list(value["changes"])
    for index in range(1, value.pop("parts")):
        part = service.read(layout.AUDIT, layout.audit_key(version, index))
        if missing.is_missing(part):
            return part
        changes += part.value["changes"]
    return msgspec.convert(
        [*(value[name] for name in edit.Entry._fields[:-1]), changes],
        edit.Entry,
    )


def read_range(
    service: tableservice.TableService, after: int, until: int
) -> tuple[edit.Entry, ...] | missing.NotFound | missing.Unavailable:
    """Return the entries of a range of versions, oldest first.

    :param service: the platform's table service.
    :param after: the version before the first one to read.
    :param until: the last version, inclusive.
    """
    found = []
    for version in range(after + 1, until + 1):
        entry = read(service, version)
        if missing.is_missing(entry):
            return entry
        found.append(entry)
    return tuple(found)
