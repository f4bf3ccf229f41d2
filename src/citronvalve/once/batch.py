"""Turns many changes into one transaction, and its result into their ends."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.once import job as jobs
from citronvalve.once import record as records
from citronvalve.once import settled
from citronvalve.storage import rows

#: Changes in one transaction.  At 3,000 keyed requests a second over 8
#: daemons and 37 transactions a second each, some 20 are enough; the rest
#: is for the burst after an outage.  The limit keeps a transaction near a
#: tenth of a megabyte.
MOST = 256

#: Bytes of answers in one transaction; the rest waits for the next one.
MOST_BYTES = 512 * 1024

_MINUTE_TABLE = "once-minute-"


class Batch(NamedTuple):
    """Changes that happen together, no two of one key.

    ``name`` is unique to this try; ``wall`` is when it was put together.
    """

    name: str
    jobs: tuple[jobs.Job, ...]
    wall: clock.Ms


class Result(NamedTuple):
    """What became of the changes; ``again`` holds those still to do."""

    settled: tuple[settled.Settled, ...]
    again: tuple[jobs.Job, ...] = ()


def minute_table(wall: clock.Ms) -> str:
    """Return the table that lists the rows written in a minute.

    The sweep reads one such table at a time: the rows of a whole day can't
    be scanned at once.

    :param wall: wall time in ms.
    """
    return f"{_MINUTE_TABLE}{wall // clock.MINUTE}"


def pick(waiting: Iterable[jobs.Job]) -> tuple[jobs.Job, ...]:
    """Choose the changes of the next batch, oldest first.

    A key comes once: two claims of one key in one transaction would both
    find it free, and both be carried out.

    :param waiting: every change not yet done.
    """
    job_by_place: dict[str, jobs.Job] = {}
    size = 0
    for job in waiting:
        size += _size(job)
        if len(job_by_place) == MOST or (job_by_place and size > MOST_BYTES):
            break
        job_by_place.setdefault(job.place, job)
    return tuple(job_by_place.values())


def transaction(batch: Batch) -> rows.Transaction:
    """Return the transaction of a batch.

    :param batch: changes of different keys.
    """
    conditions = tuple(
        rows.Condition(records.TABLE, job.place, job.version)
        for job in batch.jobs
    )
    writes = [_write(job) for job in batch.jobs if _changes(job)]
    if writes:
        writes.append(_listed(batch))
    return rows.Transaction(batch.name, conditions, tuple(writes))


def settle(batch: Batch, result: Any) -> Result:
    """Tell what the platform's answer means for each change.

    :param batch: as it was sent.
    :param result: what :meth:`TableService.commit` returned.
    """
    if isinstance(result, rows.Committed):
        return Result(tuple(_done(job, result.revision) for job in batch.jobs))
    if isinstance(result, rows.Conflict):
        return _after_conflict(batch, result)
    lost = isinstance(result, missing.AnswerLost)
    return Result(
        (), tuple(j._replace(unsure=j.unsure or lost) for j in batch.jobs)
    )


def _size(job: jobs.Job) -> int:
    kept = job.record.kept if job.record else None
    return len(kept.body) if kept else 0


def _changes(job: jobs.Job) -> bool:
    # A release of a row that is not there only looks whether it is.
    return job.record is not None or job.version != rows.NO_ROW


def _write(job: jobs.Job) -> rows.Write:
    value = None if job.record is None else records.encode(job.record)
    return rows.Write(records.TABLE, job.place, value)


def _listed(batch: Batch) -> rows.Write:
    kept = [j for j in batch.jobs if j.record is not None]
    objects = [j.record.kept.name for j in kept if j.record.kept]
    value = {
        "places": [job.place for job in kept],
        "objects": [name for name in objects if name],
    }
    return rows.Write(minute_table(batch.wall), batch.name, value)


def _done(job: jobs.Job, version: int) -> settled.Settled:
    if job.kind is jobs.JobKind.CLAIM:
        return settled.Settled(job, settled.Owned(version))
    return settled.Settled(job, settled.Recorded())


def _after_conflict(batch: Batch, conflict: rows.Conflict) -> Result:
    row_by_place = {row.key: row for row in conflict.rows}
    ends = []
    again = []
    for job in batch.jobs:
        found = _compare(job, row_by_place.get(job.place))
        (ends if isinstance(found, settled.Settled) else again).append(found)
    return Result(tuple(ends), tuple(again))


def _compare(
    job: jobs.Job, row: rows.Row | None
) -> settled.Settled | jobs.Job:
    """Tell whether a change is settled by the row as it is, or still due."""
    if row is None:
        return _without_row(job)
    if row.version == job.version:
        return job
    found = records.decode(row.value)
    if found.attempt != job.attempt:
        return _beside_another(job, found)
    if job.record == found:
        # An earlier try took effect and its answer was lost.
        return _done(job, row.version)
    return job._replace(version=row.version)


def _without_row(job: jobs.Job) -> settled.Settled | jobs.Job:
    if job.version == rows.NO_ROW:
        return job
    # Deleted by an earlier try of this release, or swept after its time.
    return settled.Settled(job, settled.Recorded())


def _beside_another(job: jobs.Job, found: records.Record) -> settled.Settled:
    if job.kind is jobs.JobKind.CLAIM:
        return settled.Settled(job, settled.Taken(found))
    return settled.Settled(job, settled.Recorded())
