"""Checks each column of a row by itself, and builds the row's record."""

import difflib
import enum
import types
import typing
from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.table import kinds
from citronvalve.table import mistake


class Checked(NamedTuple):
    """A record, or None with what is wrong."""

    record: Any
    mistakes: tuple[mistake.Mistake, ...]


def check(kind: kinds.Kind, key: str, row: dict[str, Any]) -> Checked:
    """Check one row by itself.

    :param kind: what the row should be.
    :param key: its key, for mistakes.
    :param row: its columns as written.
    """
    try:
        # Nearly all rows are right, and a daemon that starts checks 12,000
        # of them at once.
        values = msgspec.structs.astuple(msgspec.convert(row, kind.quick))
        return Checked(kind.record(*values), ())
    except msgspec.ValidationError:
        return _thorough(kind, key, row)


def _thorough(kind: kinds.Kind, key: str, row: dict[str, Any]) -> Checked:
    found = [
        _unknown(kind, key, name, value)
        for name, value in row.items()
        if name not in kind.column_by_name
    ]
    values = []
    for column in kind.column_by_name.values():
        if column.name not in row:
            values.append(column.default)
            found += _absent(key, column)
            continue
        value, wrong = _column(kind, key, column, row[column.name])
        values.append(value)
        found += wrong
    return Checked(None if found else kind.record(*values), tuple(found))


def _unknown(
    kind: kinds.Kind, key: str, name: str, value: Any
) -> mistake.Mistake:
    near = difflib.get_close_matches(name, kind.column_by_name, 1)
    known = near or sorted(kind.column_by_name)
    return mistake.Mistake(
        key, name, value, "no such column", "use " + " or ".join(known)
    )


def _absent(key: str, column: kinds.Column) -> list[mistake.Mistake]:
    if not column.required:
        return []
    return [
        mistake.Mistake(
            key, column.name, None, "the column is required", "give a value"
        )
    ]


def _column(
    kind: kinds.Kind, key: str, column: kinds.Column, seen: Any
) -> tuple[Any, list[mistake.Mistake]]:
    try:
        value = msgspec.convert(seen, column.type)
    except msgspec.ValidationError:
        wrong = mistake.Mistake(
            key, column.name, seen, "not of this type", _wanted(column.type)
        )
        return None, [wrong]
    why, remedy = _outside(kind, column, value)
    if not why:
        return value, []
    return None, [mistake.Mistake(key, column.name, seen, why, remedy)]


def _outside(
    kind: kinds.Kind, column: kinds.Column, value: Any
) -> tuple[str, str]:
    bound = column.bound
    # Written so that a value that is not a number fails too.
    if bound and not bound.low <= value <= bound.high:
        return bound.reason, f"give {bound.span}"
    if column.name in kind.key_columns and not kinds.NAME.fullmatch(value):
        return "not a name", f"match {kinds.NAME.pattern}"
    if isinstance(value, str) and len(value) > kinds.LONGEST_TEXT:
        return "too long", f"at most {kinds.LONGEST_TEXT} characters"
    if isinstance(value, tuple) and len(value) > kinds.LONGEST_LIST:
        return "too many entries", f"at most {kinds.LONGEST_LIST}"
    return "", ""


def _wanted(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return "give one of " + ", ".join(str(each.value) for each in kind)
    if typing.get_origin(kind) is tuple:
        return "give a list of texts"
    name_by_type = {
        str: "a text",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
    }
    plain = kind if isinstance(kind, type) else types.NoneType
    return f"give {name_by_type.get(plain, str(kind))}"
