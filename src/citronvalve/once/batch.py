"""Builds a transaction from many changes and maps its result to them."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import change as changes
from citronvalve.once import changeresult
from citronvalve.once import record as records
from citronvalve.storage import rows

#: Most changes in one transaction.  About 20 suffice for 3,000 keyed
#: requests a second over 8 daemons with 37 transactions a second each; the
#: rest absorbs the burst after an outage.  The limit keeps a transaction
#: near 0.1 MB.
MAX_CHANGES = 256

#: Most bytes of response bodies in one transaction; further changes wait
#: for the next one.
MAX_BODY_BYTES = 512 * 1024

_MINUTE_TABLE = "once-minute-"


class Batch(NamedTuple):
    """Changes of distinct keys that are committed together.

    ``name`` is unique to this commit; ``created_at`` is wall time in ms.
    """

    name: str
    changes: tuple[changes.Change, ...]
    created_at: clock.Ms


class BatchResult(NamedTuple):
    """The finished changes of a batch, and those to submit again."""

    finished: tuple[changeresult.ChangeResult, ...]
    to_retry: tuple[changes.Change, ...] = ()


def minute_table(wall: clock.Ms) -> str:
    """Return the name of the index table of a minute.

    It lists the rows written in that minute.  The sweep reads one such
    table at a time because a whole day is too much for one scan.

    :param wall: wall time in ms.
    """
    return f"{_MINUTE_TABLE}{wall // clock.MINUTE}"


def pick(queue: Iterable[changes.Change]) -> tuple[changes.Change, ...]:
    """Choose the changes of the next batch, oldest first.

    Each key occurs once: two claims of one key in one transaction would
    both succeed, and the request would run twice.

    :param queue: all queued changes.
    """
    change_by_row_key: dict[str, changes.Change] = {}
    size = 0
    for change in queue:
        size += _body_size(change)
        if len(change_by_row_key) == MAX_CHANGES or (
            change_by_row_key and size > MAX_BODY_BYTES
        ):
            break
        change_by_row_key.setdefault(change.row_key, change)
    return tuple(change_by_row_key.values())


def transaction(batch: Batch) -> rows.Transaction:
    """Return the transaction that commits a batch.

    :param batch: changes of distinct keys.
    """
    conditions = tuple(
        rows.Condition(records.TABLE, change.row_key, change.version)
        for change in batch.changes
    )
    writes = [_write(change) for change in batch.changes if _has_write(change)]
    if writes:
        writes.append(_index_write(batch))
    return rows.Transaction(batch.name, conditions, tuple(writes))


def settle(batch: Batch, result: Any) -> BatchResult:
    """Map the result of a commit to each change of the batch.

    :param batch: the committed batch.
    :param result: what :meth:`TableService.commit` returned.
    """
    if isinstance(result, rows.Committed):
        return BatchResult(
            tuple(
                _applied(change, result.revision) for change in batch.changes
            )
        )
    if isinstance(result, rows.Conflict):
        return _resolve_conflict(batch, result)
    lost = isinstance(result, missing.AnswerLost)
    return BatchResult(
        (),
        tuple(
            j._replace(maybe_applied=j.maybe_applied or lost)
            for j in batch.changes
        ),
    )


def _body_size(change: changes.Change) -> int:
    stored = change.record.kept if change.record else None
    return len(stored.body) if stored else 0


def _has_write(change: changes.Change) -> bool:
    # Releasing a row of unknown version only checks whether it exists.
    return change.record is not None or change.version != rows.NO_ROW


def _write(change: changes.Change) -> rows.Write:
    value = None if change.record is None else records.encode(change.record)
    return rows.Write(records.TABLE, change.row_key, value)


def _index_write(batch: Batch) -> rows.Write:
    recorded = [j for j in batch.changes if j.record is not None]
    objects = [j.record.kept.name for j in recorded if j.record.kept]
    value = {
        "places": [change.row_key for change in recorded],
        "objects": [name for name in objects if name],
    }
    return rows.Write(minute_table(batch.created_at), batch.name, value)


def _applied(
    change: changes.Change, version: int
) -> changeresult.ChangeResult:
    if change.kind is changes.ChangeKind.CLAIM:
        return changeresult.ChangeResult(change, changeresult.Claimed(version))
    return changeresult.ChangeResult(change, changeresult.Applied())


def _resolve_conflict(batch: Batch, conflict: rows.Conflict) -> BatchResult:
    row_by_key = {row.key: row for row in conflict.rows}
    finished = []
    to_retry = []
    for change in batch.changes:
        resolved = _resolve_change(change, row_by_key.get(change.row_key))
        (
            finished
            if isinstance(resolved, changeresult.ChangeResult)
            else to_retry
        ).append(resolved)
    return BatchResult(tuple(finished), tuple(to_retry))


def _resolve_change(
    change: changes.Change, row: rows.Row | None
) -> changeresult.ChangeResult | changes.Change:
    """Return the result that the row implies, or the change to retry."""
    if row is None:
        return _resolve_missing_row(change)
    if row.version == change.version:
        return change
    found = records.decode(row.value)
    if found.attempt != change.attempt_id:
        return _resolve_other_attempt(change, found)
    if change.record == found:
        # An earlier commit took effect and its response was lost.
        return _applied(change, row.version)
    return change._replace(version=row.version)


def _resolve_missing_row(
    change: changes.Change,
) -> changeresult.ChangeResult | changes.Change:
    if change.version == rows.NO_ROW:
        return change
    # Deleted by an earlier commit of this release, or swept on expiry.
    return changeresult.ChangeResult(change, changeresult.Applied())


def _resolve_other_attempt(
    change: changes.Change, found: records.Record
) -> changeresult.ChangeResult:
    if change.kind is changes.ChangeKind.CLAIM:
        return changeresult.ChangeResult(
            change, changeresult.ClaimedByOther(found)
        )
    return changeresult.ChangeResult(change, changeresult.Applied())
