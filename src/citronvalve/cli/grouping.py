"""Shows the replica groups: state, reason and since when."""

from collections.abc import Iterator
from typing import NamedTuple

from citronvalve.cli import exitcode
from citronvalve.cli import moments
from citronvalve.cli import outcomes
from citronvalve.cli import report
from citronvalve.cli import session
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

_HEADS = ("group", "datacentre", "state", "since", "reason", "domain", "vms")
_SHORT = "fewer VMs of one domain are free than the group needs"


class _Shown(NamedTuple):
    """One group, or one replica that has no VMs yet."""

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
    """Show replica groups, and those that have no VMs yet.

    :param names: declared groups; none shows all.
    :param platform: URL of the platform.
    """
    service = session.table(platform)
    try:
        table = reader.read(service)
    except mistake.MistakesError as error:
        return outcomes.mistakes(error.mistakes)
    if missing.is_missing(table):
        return outcomes.unavailable(table)
    wanted = [
        each
        for name, each in sorted(table.group_by_name.items())
        if not names or name in names
    ]
    shown: list[_Shown] = []
    for each in wanted:
        records = _records(service, each)
        if missing.is_missing(records):
            return outcomes.unavailable(records)
        shown += _of_declared(each, records)
    return _report(shown)


def _records(
    service: tableservice.TableService, group: declared.Group
) -> list[record.GroupRecord] | missing.Unavailable:
    scan = service.scan(rowcache.groups_table(group.datacentre))
    if missing.is_missing(scan):
        return scan
    known = rowcache.RowCache(group.datacentre, invariant.Invariants())
    known.apply_groups(scan)
    records = known.record_by_group.values()
    return [each for each in records if each.declared == group.name]


def _of_declared(
    group: declared.Group, records: list[record.GroupRecord]
) -> Iterator[_Shown]:
    for each in records:
        yield _Shown(
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
        yield _Shown(
            group.name, group.datacentre, phase.Phase.PLANNED, 0, _SHORT
        )


def _report(shown: list[_Shown]) -> report.Report:
    lines = (
        (
            each.group,
            each.datacentre,
            each.state,
            moments.text(each.since) if each.since else None,
            each.reason,
            each.domain or None,
            each.vms or None,
        )
        for each in shown
    )
    body = {"groups": [each._asdict() for each in shown]}
    text = report.grid(_HEADS, lines)
    return report.Report(exitcode.ExitCode.OK, text, body)
