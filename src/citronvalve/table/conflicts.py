"""Checks for limits of the table that contradict each other."""

import collections
from collections.abc import Iterator

from citronvalve.model import declared
from citronvalve.model import finding
from citronvalve.table import layout

_Findings = Iterator[finding.Finding]
_SWITCHES = layout.key("switches", "all")


def check_kept_keys(table: declared.Declared) -> _Findings:
    """Find answers that are forgotten before their request may end.

    :param table: the declared table.
    """
    kept = table.switches.keep_keys
    deadlines = {
        f"{layout.key('services', name)}.deadline": service.deadline
        for name, service in table.service_by_name.items()
    }
    deadlines[f"{_SWITCHES}.default_deadline"] = (
        table.switches.default_deadline
    )
    for place, deadline in deadlines.items():
        if deadline > kept:
            yield finding.Finding(
                place,
                f"{deadline} ms are longer than {_SWITCHES}.keep_keys, "
                f"{kept} ms: a repeat could run again",
                "raise keep_keys, or lower the deadline",
            )


def check_retries(table: declared.Declared) -> _Findings:
    """Find methods that may be repeated while no retry is allowed.

    :param table: the declared table.
    """
    if table.switches.retry_share > 0:
        return
    for name, service in table.service_by_name.items():
        if service.repeatable:
            yield finding.Finding(
                f"{layout.key('services', name)}.repeatable",
                f"{_SWITCHES}.retry_share is 0, so nothing is repeated",
                "raise retry_share, or give an empty list",
            )


def check_runners(table: declared.Declared, runners: int) -> _Findings:
    """Find groups that want more VMs than there are.

    :param table: the declared table.
    :param runners: VMs for replicas in each data centre.
    """
    wanted: dict[str, int] = collections.Counter()
    for group in table.group_by_name.values():
        if group.state is declared.ServiceState.IN:
            wanted[group.datacentre] += group.size * group.replicas
    for name, count in wanted.items():
        if count > runners:
            yield finding.Finding(
                layout.key("datacentres", name),
                f"its groups want {count} VMs, and there are {runners}",
                "declare fewer or smaller replicas, or add VMs",
            )
