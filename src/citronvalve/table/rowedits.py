"""Operations that edit one row or undo other edits, without I/O."""

from collections.abc import Iterable
from typing import Any

from citronvalve.table import edit
from citronvalve.table import kinds
from citronvalve.table import layout
from citronvalve.table import mistake
from citronvalve.table import planning


def set_columns(
    key: str, columns: dict[str, Any], new: bool = False
) -> planning.Operation:
    """Return an operation that sets columns of one row.

    :param key: section and name, as in ``datacentres/sapporo``.
    :param columns: values by column; other columns keep theirs.
    :param new: whether to add a row, which must not exist, or to change
        one, which must.
    """

    def operation(stored: planning.Values) -> planning.Values:
        kind = _kind_of_key(key)
        names = key.split(layout.SEPARATOR)[1:]
        named = dict(zip(kind.key_columns, names, strict=False))
        # The row of switches always exists, initially with its defaults.
        if kind.key_columns and (key in stored) == new:
            _refuse(
                key,
                "there is such a row" if new else "no such row",
                "leave out --new" if new else "mend the name, or add --new",
            )
        return stored | {key: stored.get(key, {}) | columns | named}

    return operation


def remove_row(key: str) -> planning.Operation:
    """Return an operation that removes one row.

    :param key: section and name.
    """

    def operation(stored: planning.Values) -> planning.Values:
        if key not in stored:
            _refuse(key, "no such row", "see `citronvalve table show`")
        return {k: value for k, value in stored.items() if k != key}

    return operation


def undo_edits(entries: Iterable[edit.Entry]) -> planning.Operation:
    """Return an operation that undoes other edits.

    :param entries: the latest edits of the table, in any order.
    """
    latest_first = sorted(entries, reverse=True)

    def operation(stored: planning.Values) -> planning.Values:
        values = dict(stored)
        for entry in latest_first:
            for change in entry.changes:
                _undo_change(values, change, entry.version)
        return values

    return operation


def _undo_change(
    values: planning.Values, change: edit.Change, version: int
) -> None:
    # A row that was written without an audit entry would be lost.
    if values.get(change.key) != change.after:
        _refuse(
            change.key,
            f"not as the audit entry of version {version} left it",
            "declare the rows that you want and apply them",
        )
    if change.before is None:
        del values[change.key]
    else:
        values[change.key] = change.before


def _kind_of_key(key: str) -> kinds.Kind:
    section, *names = key.split(layout.SEPARATOR)
    kind = kinds.KIND_BY_SECTION.get(section)
    if kind is None:
        _refuse(key, "no such section", "use " + ", ".join(_SECTIONS))
    if len(names) != len(kind.key_columns or kinds.SWITCHES_NAMES):
        form = layout.key(section, *(kind.key_columns or kinds.SWITCHES_NAMES))
        _refuse(key, "not the key of a row", f"write {form}")
    return kind


def _refuse(row: str, why: str, remedy: str) -> None:
    wrong = mistake.Mistake(row, "", row, why, remedy)
    raise mistake.MistakesError((wrong,))


_SECTIONS = sorted(kinds.KIND_BY_SECTION)
