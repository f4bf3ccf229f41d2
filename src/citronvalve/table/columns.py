"""Checks each column of a row by itself, and builds the row's record."""

import difflib
import enum
import re
import types
import typing
from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.table import kinds
from citronvalve.table import mistake

#: A name goes into keys, URLs, metric labels and logs; the separator of
#: keys and blanks would make two rows look like one.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,62}")

#: A text column above this would fill the store with one row.
LONGEST_TEXT = 512

#: Entries of a column that holds a list.
LONGEST_LIST = 64


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
        return (
            bound.reason,
            f"give {bound.low:g} to {bound.high:g} {bound.unit}",
        )
    if column.name in kind.key_columns and not NAME.fullmatch(value):
        return "not a name", f"match {NAME.pattern}"
    if isinstance(value, str) and len(value) > LONGEST_TEXT:
        return "too long", f"at most {LONGEST_TEXT} characters"
    if isinstance(value, tuple) and len(value) > LONGEST_LIST:
        return "too many entries", f"at most {LONGEST_LIST}"
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
