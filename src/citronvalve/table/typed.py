"""Builds the typed table from stored rows, or says all that is wrong."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from citronvalve.model import declared
from citronvalve.table import columns
from citronvalve.table import crosscheck
from citronvalve.table import kinds
from citronvalve.table import layout
from citronvalve.table import mistake

#: The table before its first edit.
EMPTY = declared.Declared(0, {}, {}, {}, {}, {}, {}, {}, declared.Switches())

_FIELD_BY_SECTION = {
    "teams": "team_by_name",
    "models": "model_by_name",
    "datacentres": "datacentre_by_name",
    "upstreams": "upstream_by_name",
    "groups": "group_by_name",
    "services": "service_by_name",
    "limits": "limit_by_key",
}


class Typed(NamedTuple):
    """The table, and what is wrong with it; use it only when nothing is."""

    table: declared.Declared
    mistakes: tuple[mistake.Mistake, ...]


def full(value_by_key: dict[str, dict[str, Any]], version: int) -> Typed:
    """Check rows as operators write them, as a whole.

    Rows that are wrong by themselves are left out of the look at the whole
    table, so that one mistake is not told twice.

    :param value_by_key: every row's columns.
    :param version: what the table's version is to be.
    """
    changed = changed_from(EMPTY, value_by_key.items(), version)
    wrong = changed.mistakes
    wrong_rows = {each.row for each in wrong}
    whole = tuple(
        each
        for each in crosscheck.check(changed.table)
        if each.needs not in wrong_rows
    )
    return Typed(changed.table, wrong + whole)


def changed_from(
    before: declared.Declared,
    changes: Iterable[tuple[str, dict[str, Any] | None]],
    version: int,
) -> Typed:
    """Return the table after changes, each row checked by itself.

    :param before: the table so far; it is not changed.
    :param changes: key and columns, or None for a row that went.
    :param version: the version that the changes make.
    """
    copied: dict[str, dict] = {}
    switches = before.switches
    wrong: list[mistake.Mistake] = []
    for key, value in changes:
        section, *names = key.split(layout.SEPARATOR)
        if section == "switches":
            checked = _checked(section, key, value or {})
            switches = checked.record or switches
            wrong += checked.mistakes
            continue
        field = _FIELD_BY_SECTION.get(section)
        if field is None:
            wrong.append(_no_section(key, section))
            continue
        if field not in copied:
            copied[field] = dict(getattr(before, field))
        name = names[0] if len(names) == 1 else tuple(names)
        if value is None:
            copied[field].pop(name, None)
            continue
        checked = _checked(section, key, value)
        wrong += checked.mistakes
        if checked.record:
            copied[field][name] = checked.record
    table = before._replace(version=version, switches=switches, **copied)
    return Typed(table, tuple(wrong))


def known(
    changes: Iterable[tuple[str, dict[str, Any] | None]],
) -> Iterator[tuple[str, dict[str, Any] | None]]:
    """Leave out what a newer release stored and this one does not know.

    Releases are rolled out VM by VM: a daemon that refused a new column
    would stay on an old table for the whole roll-out.

    :param changes: key and columns, or None for a row that went.
    """
    for key, value in changes:
        kind = kinds.KIND_BY_SECTION.get(key.split(layout.SEPARATOR)[0])
        if kind is None:
            continue
        if value is not None:
            value = {
                name: seen
                for name, seen in value.items()
                if name in kind.column_by_name
            }
        yield key, value


def _no_section(key: str, section: str) -> mistake.Mistake:
    return mistake.Mistake(
        key,
        "",
        section,
        "no such section",
        "edit with the release that wrote it",
    )


def _checked(section: str, key: str, value: dict[str, Any]) -> columns.Checked:
    return columns.check(kinds.KIND_BY_SECTION[section], key, value)
