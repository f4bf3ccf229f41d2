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


class BuildResult(NamedTuple):
    """The table, and what is wrong with it; use it only when nothing is."""

    table: declared.Declared
    mistakes: tuple[mistake.Mistake, ...]


def build_full(
    value_by_key: dict[str, dict[str, Any]], version: int
) -> BuildResult:
    """Check rows as operators write them, as a whole.

    Rows that are wrong by themselves are left out of the look at the whole
    table, so that one mistake is not told twice.

    :param value_by_key: every row's columns.
    :param version: what the table's version is to be.
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
    """Return the table after changes, each row checked by itself.

    :param before: the table so far; it is not changed.
    :param changes: key and columns, or None for a row that went.
    :param version: the version that the changes make.
    """
    builder = _Builder(before)
    for key, value in changes:
        builder.apply_change(key, value)
    return builder.build(version)


class _Builder:
    """Carries changes out on copies of only the sections that they touch.

    :param before: the table so far.
    """

    def __init__(self, before: declared.Declared) -> None:
        self._before = before
        self._new_by_field: dict[str, Any] = {}
        self._mistakes: list[mistake.Mistake] = []

    def apply_change(self, key: str, value: dict[str, Any] | None) -> None:
        """Put a row, or take it away with None."""
        section, *names = key.split(layout.SEPARATOR)
        kind = kinds.KIND_BY_SECTION.get(section)
        if kind is None:
            self._mistakes.append(_unknown_section(key, section))
        elif not kind.key_columns:
            # The one row of switches has its defaults while it is away.
            record = self._check_row(kind, key, value or {})
            if record:
                self._new_by_field[kind.field] = record
        else:
            name = names[0] if len(names) == 1 else tuple(names)
            self._set_row(kind, key, name, value)

    def build(self, version: int) -> BuildResult:
        """Return the table with all that was wrong."""
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
