"""Checks for rows of the table that no request can use."""

import collections
from collections.abc import Iterator

from citronvalve.model import declared
from citronvalve.model import finding
from citronvalve.table import layout

_IN = declared.ServiceState.IN
_Findings = Iterator[finding.Finding]

#: Concurrent requests by model or service and data centre.
SlotsByPlace = dict[tuple[str, str], int]


def count_slots(table: declared.Declared) -> SlotsByPlace:
    """Return the slots of upstreams and groups that are in service.

    :param table: the declared table.
    """
    slots: SlotsByPlace = collections.defaultdict(int)
    for upstream in table.upstream_by_name.values():
        if upstream.state is _IN and _is_in(table, upstream.datacentre):
            for name in upstream.serves:
                slots[name, upstream.datacentre] += upstream.slots
    for group in table.group_by_name.values():
        if group.state is _IN and _is_in(table, group.datacentre):
            added = group.slots * group.replicas
            slots[group.model, group.datacentre] += added
    return slots


def _is_in(table: declared.Declared, datacentre: str) -> bool:
    row = table.datacentre_by_name.get(datacentre)
    return row is None or row.state is _IN


def check_served(table: declared.Declared) -> _Findings:
    """Find models and services that nothing in service serves.

    :param table: the declared table.
    """
    slots = count_slots(table)
    served = {name for (name, _), count in slots.items() if count > 0}
    for name in sorted(table.model_by_name.keys() - served):
        yield finding.Finding(
            layout.key("models", name),
            "no upstream and no group in service serves it, so each request "
            "for it is refused",
            "add one, put one in service, or remove the model",
        )
    for name in sorted(table.service_by_name.keys() - served):
        yield finding.Finding(
            layout.key("services", name),
            "no upstream in service serves it, so each request for it is "
            "refused",
            "add one, put one in service, or remove the service",
        )


def check_datacentres(table: declared.Declared) -> _Findings:
    """Find data centres without upstreams and groups.

    :param table: the declared table.
    """
    used = {row.datacentre for row in table.upstream_by_name.values()}
    used |= {row.datacentre for row in table.group_by_name.values()}
    for name in sorted(table.datacentre_by_name.keys() - used):
        yield finding.Finding(
            layout.key("datacentres", name),
            "it has neither upstreams nor groups",
            "add some, or remove the data centre",
        )


def check_groups(table: declared.Declared) -> _Findings:
    """Find groups without replicas.

    :param table: the declared table.
    """
    for group in table.group_by_name.values():
        if group.replicas == 0:
            yield finding.Finding(
                f"{layout.key('groups', group.name)}.replicas",
                "with 0 no replica is formed",
                "give at least 1, or remove the group",
            )


def check_limits(table: declared.Declared) -> _Findings:
    """Find limits that refuse every request, or none.

    :param table: the declared table.
    """
    slots = count_slots(table)
    for key, limit in table.limit_by_key.items():
        place = f"{layout.key('limits', *key)}.slots"
        there = slots[limit.model, limit.datacentre]
        if limit.slots == 0:
            yield finding.Finding(
                place,
                "with 0 each request of the team is refused there",
                "give at least 1, or remove the team's limit and its token",
            )
        elif there == 0:
            yield finding.Finding(
                place,
                f"nothing in service serves {limit.model} in "
                f"{limit.datacentre}, so the limit is never used",
                "remove the limit, or put upstreams there in service",
            )
        elif limit.slots > there:
            yield finding.Finding(
                place,
                f"{limit.slots} are more than the {there} slots there, so "
                "the limit is never reached",
                f"give at most {there}, or remove the limit",
            )
