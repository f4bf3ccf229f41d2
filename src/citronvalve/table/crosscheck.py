"""Validation across rows and columns."""

from collections.abc import Callable
from collections.abc import Iterator
import re
import socket

from citronvalve.model import declared
from citronvalve.table import layout
from citronvalve.table import mistake

_Mistakes = Iterator[mistake.Mistake]

_SHA256 = re.compile(r"[0-9a-f]{64}")
_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE")


def check(table: declared.Declared) -> tuple[mistake.Mistake, ...]:
    """Validate the relations between rows and columns.

    :param table: rows that are each valid alone.
    """
    return tuple(wrong for each in _CHECKS for wrong in each(table))


def _check_reference(
    row: str, column: str, name: str, known: dict, section: str
) -> _Mistakes:
    if name not in known:
        needs = layout.key(section, name)
        yield mistake.Mistake(
            row,
            column,
            name,
            f"{section} has no such row",
            f"add {needs} or name one that is there",
            needs,
        )


def _check_unique(
    section: str, column: str, pairs: Iterator[tuple[str, str]], why: str
) -> _Mistakes:
    first_by_value: dict[str, str] = {}
    for name, value in pairs:
        first = first_by_value.setdefault(value, name)
        if first != name:
            yield mistake.Mistake(
                layout.key(section, name),
                column,
                value,
                f"{section}/{first} has the same; {why}",
                "give each its own",
            )


def _check_teams(table: declared.Declared) -> _Mistakes:
    teams = table.team_by_name.values()
    for team in teams:
        if not _SHA256.fullmatch(team.token_sha256):
            yield mistake.Mistake(
                layout.key("teams", team.name),
                "token_sha256",
                team.token_sha256,
                "not a SHA-256 digest in lower-case hex",
                "printf %s TOKEN | sha256sum",
            )
    yield from _check_unique(
        "teams",
        "token_sha256",
        ((team.name, team.token_sha256) for team in teams),
        "a caller's team would be ambiguous",
    )


def _check_upstreams(table: declared.Declared) -> _Mistakes:
    datacentres = table.datacentre_by_name
    upstreams = table.upstream_by_name.values()
    for upstream in upstreams:
        row = layout.key("upstreams", upstream.name)
        yield from _check_reference(
            row, "datacentre", upstream.datacentre, datacentres, "datacentres"
        )
        yield from _check_address(row, upstream.address)
        yield from _check_cold_slots(row, upstream.slots, upstream.cold_slots)
        yield from _check_served_names(row, upstream, table)
    yield from _check_unique(
        "upstreams",
        "address",
        ((upstream.name, upstream.address) for upstream in upstreams),
        "its slots would be counted twice",
    )


def _check_address(row: str, address: str) -> _Mistakes:
    # Host names are not allowed: resolving one would delay requests and
    # depend on the availability of a DNS server.
    host, _, port = address.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    family = socket.AF_INET6 if bracketed else socket.AF_INET
    try:
        # inet_pton only parses; ipaddress would take a third of the time
        # of the whole check.
        socket.inet_pton(family, host[1:-1] if bracketed else host)
        is_valid = port.isascii() and port.isdigit() and 0 < int(port) < 65_536
    except OSError:
        is_valid = False
    if not is_valid:
        yield mistake.Mistake(
            row,
            "address",
            address,
            "not an IP number and a port",
            "write 10.0.0.1:8000",
        )


def _check_cold_slots(row: str, slots: int, cold_slots: int) -> _Mistakes:
    if cold_slots > slots:
        yield mistake.Mistake(
            row,
            "cold_slots",
            cold_slots,
            f"a cold start would accept more than the {slots} when warm",
            f"give at most {slots}",
        )


def _check_served_names(
    row: str, upstream: declared.Upstream, table: declared.Declared
) -> _Mistakes:
    plain = upstream.kind is declared.UpstreamKind.PLAIN
    if not upstream.serves or (plain and len(upstream.serves) != 1):
        yield mistake.Mistake(
            row,
            "serves",
            list(upstream.serves),
            "it would get no work, or work of another service",
            "name one service" if plain else "name its models",
        )
    known = table.service_by_name if plain else table.model_by_name
    section = "services" if plain else "models"
    for name in upstream.serves:
        yield from _check_reference(row, "serves", name, known, section)


def _check_groups(table: declared.Declared) -> _Mistakes:
    for group in table.group_by_name.values():
        row = layout.key("groups", group.name)
        datacentres = table.datacentre_by_name
        models = table.model_by_name
        yield from _check_reference(
            row, "datacentre", group.datacentre, datacentres, "datacentres"
        )
        yield from _check_reference(
            row, "model", group.model, models, "models"
        )
        yield from _check_cold_slots(row, group.slots, group.cold_slots)
        if group.most_closed > max(group.replicas, 1):
            yield mistake.Mistake(
                row,
                "most_closed",
                group.most_closed,
                f"there are only {group.replicas} groups",
                f"give at most {max(group.replicas, 1)}",
            )


def _check_group_names(table: declared.Declared) -> _Mistakes:
    # The upstreams of a group have its name, and slots are counted by name.
    for name in sorted(table.group_by_name.keys() & table.upstream_by_name):
        yield mistake.Mistake(
            layout.key("groups", name),
            "name",
            name,
            "an upstream has this name; their loads would be mixed up",
            "rename one of them",
        )


def _check_services(table: declared.Declared) -> _Mistakes:
    for service in table.service_by_name.values():
        for method in service.repeatable:
            if method not in _METHODS:
                yield mistake.Mistake(
                    layout.key("services", service.name),
                    "repeatable",
                    method,
                    "not an HTTP method",
                    "use " + ", ".join(_METHODS),
                )


def _check_limits(table: declared.Declared) -> _Mistakes:
    # A limit may apply to a plain service instead of a model.
    served = {**table.service_by_name, **table.model_by_name}
    known_by_column = {
        "team": ("teams", table.team_by_name),
        "model": ("models", served),
        "datacentre": ("datacentres", table.datacentre_by_name),
    }
    for key, limit in table.limit_by_key.items():
        row = layout.key("limits", *key)
        for column, (section, known) in known_by_column.items():
            name = getattr(limit, column)
            yield from _check_reference(row, column, name, known, section)


_CHECKS: tuple[Callable[[declared.Declared], _Mistakes], ...] = (
    _check_teams,
    _check_upstreams,
    _check_groups,
    _check_group_names,
    _check_services,
    _check_limits,
)
