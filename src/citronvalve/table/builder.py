"""Builds the typed table from rows and collects all their mistakes."""

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


class BuildResult(NamedTuple):
    """The table and its mistakes; valid only without mistakes."""

    table: declared.Declared
    mistakes: tuple[mistake.Mistake, ...]


def build_full(
    value_by_key: dict[str, dict[str, Any]], version: int
) -> BuildResult:
    """Build a table from all its rows, with checks across rows.

    References to rows that are invalid by themselves are not reported, so
    that one mistake is reported once.

    :param value_by_key: every row's columns.
    :param version: the version of the new table.
    """
    changed = build_changed(EMPTY, value_by_key.items(), version)
    wrong = changed.mistakes
    wrong_rows = {each.row for each in wrong}
    cross_mistakes = tuple(
        each
        for each in crosscheck.check(changed.table)
        if each.needs not in wrong_rows
    )
    return BuildResult(changed.table, wrong + cross_mistakes)


def build_changed(
    before: declared.Declared,
    changes: Iterable[tuple[str, dict[str, Any] | None]],
    version: int,
) -> BuildResult:
    """Build a table from an earlier one, checking each changed row alone.

    :param before: the earlier table; it is not modified.
    :param changes: key and columns, or None for a removed row.
    :param version: the version that the changes create.
    """
    builder = _Builder(before)
    for key, value in changes:
        builder.apply_change(key, value)
    return builder.build(version)


class _Builder:
    """Applies changes, copying only the sections that they touch.

    :param before: the earlier table.
    """

    def __init__(self, before: declared.Declared) -> None:
        self._before = before
        self._new_by_field: dict[str, Any] = {}
        self._mistakes: list[mistake.Mistake] = []

    def apply_change(self, key: str, value: dict[str, Any] | None) -> None:
        """Set a row, or remove it when the value is None."""
        section, *names = key.split(layout.SEPARATOR)
        kind = kinds.KIND_BY_SECTION.get(section)
        if kind is None:
            self._mistakes.append(_unknown_section(key, section))
        elif not kind.key_columns:
            # Without a stored row the switches have their defaults.
            record = self._check_row(kind, key, value or {})
            if record:
                self._new_by_field[kind.field] = record
        else:
            name = names[0] if len(names) == 1 else tuple(names)
            self._set_row(kind, key, name, value)

    def build(self, version: int) -> BuildResult:
        """Return the table with all mistakes found."""
        table = self._before._replace(version=version, **self._new_by_field)
        return BuildResult(table, tuple(self._mistakes))

    def _set_row(
        self,
        kind: kinds.Kind,
        key: str,
        name: str | tuple[str, ...],
        value: dict[str, Any] | None,
    ) -> None:
        if kind.field not in self._new_by_field:
            copied = dict(getattr(self._before, kind.field))
            self._new_by_field[kind.field] = copied
        record_by_name = self._new_by_field[kind.field]
        if value is None:
            record_by_name.pop(name, None)
            return
        record = self._check_row(kind, key, value)
        if record:
            record_by_name[name] = record

    def _check_row(
        self, kind: kinds.Kind, key: str, value: dict[str, Any]
    ) -> Any:
        checked = columns.check_row(kind, key, value)
        self._mistakes += checked.mistakes
        return checked.record


def drop_unknown(
    changes: Iterable[tuple[str, dict[str, Any] | None]],
) -> Iterator[tuple[str, dict[str, Any] | None]]:
    """Yield changes without sections and columns of a newer release.

    Releases are rolled out VM by VM: a daemon that rejected an unknown
    column would keep an old table during the whole roll-out.

    :param changes: key and columns, or None for a removed row.
    """
    for key, value in changes:
        kind = kinds.KIND_BY_SECTION.get(key.split(layout.SEPARATOR)[0])
        if kind is None:
            continue
        if value is not None:
            value = {
                name: column_value
                for name, column_value in value.items()
                if name in kind.column_by_name
            }
        yield key, value


def _unknown_section(key: str, section: str) -> mistake.Mistake:
    return mistake.Mistake(
        key,
        "",
        section,
        "no such section",
        "edit with the release that wrote it",
    )
