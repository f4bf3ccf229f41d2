"""The command that shows the state of replica groups."""

from collections.abc import Iterator
from typing import NamedTuple

from citronvalve.cli import exitcode
from citronvalve.cli import outcomes
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.cli import timestamps
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import mistake
from citronvalve.table import reader

_HEADERS = ("group", "datacentre", "state", "since", "reason", "domain", "vms")
_TOO_FEW_VMS = "fewer VMs of one domain are free than the group needs"


class _GroupRow(NamedTuple):
    """One group, or one declared replica without VMs."""

    group: str
    datacentre: str
    state: phase.Phase
    since: clock.Ms
    reason: str
    domain: str = ""
    vms: tuple[str, ...] = ()
    model: str = ""
    version: str = ""
    fence: int = 0


def groups(*names: str, platform: str = "") -> report.Report:
    """Show replica groups, including replicas that have no VMs yet.

    :param names: declared groups to show; none shows all.
    :param platform: URL of the platform.
    """
    service = session.open_table(platform)
    try:
        table = reader.read(service)
    except mistake.MistakesError as error:
        return outcomes.mistakes_report(error.mistakes)
    if missing.is_missing(table):
        return outcomes.unavailable_report(table)
    wanted = [
        each
        for name, each in sorted(table.group_by_name.items())
        if not names or name in names
    ]
    rows: list[_GroupRow] = []
    for each in wanted:
        records = _records(service, each)
        if missing.is_missing(records):
            return outcomes.unavailable_report(records)
        rows += _group_rows(each, records)
    return _report(rows)


def _records(
    service: tableservice.TableService, group: declared.Group
) -> list[record.GroupRecord] | missing.Unavailable:
    scan = service.scan(rowcache.groups_table(group.datacentre))
    if missing.is_missing(scan):
        return scan
    cache = rowcache.RowCache(group.datacentre, invariant.Invariants())
    cache.apply_groups(scan)
    records = cache.record_by_group.values()
    return [each for each in records if each.declared == group.name]


def _group_rows(
    group: declared.Group, records: list[record.GroupRecord]
) -> Iterator[_GroupRow]:
    for each in records:
        yield _GroupRow(
            each.name,
            group.datacentre,
            each.phase,
            each.since,
            each.reason,
            each.domain,
            each.vms,
            each.wanted.model,
            each.wanted.version,
            each.fence,
        )
    for _ in range(group.replicas - len(records)):
        yield _GroupRow(
            group.name, group.datacentre, phase.Phase.PLANNED, 0, _TOO_FEW_VMS
        )


def _report(rows: list[_GroupRow]) -> report.Report:
    lines = (
        (
            each.group,
            each.datacentre,
            each.state,
            timestamps.format_utc(each.since) if each.since else None,
            each.reason,
            each.domain or None,
            each.vms or None,
        )
        for each in rows
    )
    body = {"groups": [each._asdict() for each in rows]}
    text = report.format_table(_HEADERS, lines)
    return report.Report(exitcode.ExitCode.OK, text, body)
