"""Validates the columns of a row and builds the row's record."""

import difflib
import enum
import types
import typing
from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.model import decoding
from citronvalve.table import kinds
from citronvalve.table import mistake


class CheckResult(NamedTuple):
    """A record, or None with the mistakes of the row."""

    record: Any
    mistakes: tuple[mistake.Mistake, ...]


def check_row(kind: kinds.Kind, key: str, row: dict[str, Any]) -> CheckResult:
    """Validate one row without regard to others.

    :param kind: the kind of row.
    :param key: the row's key, reported in mistakes.
    :param row: column values as given.
    """
    try:
        # Nearly all rows are valid, and a daemon checks 12,000 of them at
        # startup.  Only invalid rows are checked column by column.
        values = msgspec.structs.astuple(msgspec.convert(row, kind.struct))
        return CheckResult(kind.record(*values), ())
    except decoding.ERRORS:
        return _check_columns(kind, key, row)


def _check_columns(
    kind: kinds.Kind, key: str, row: dict[str, Any]
) -> CheckResult:
    found = [
        _unknown_column(kind, key, name, value)
        for name, value in row.items()
        if name not in kind.column_by_name
    ]
    values = []
    for column in kind.column_by_name.values():
        if column.name not in row:
            values.append(column.default)
            found += _check_absent(key, column)
            continue
        value, wrong = _check_column(kind, key, column, row[column.name])
        values.append(value)
        found += wrong
    return CheckResult(None if found else kind.record(*values), tuple(found))


def _unknown_column(
    kind: kinds.Kind, key: str, name: str, value: Any
) -> mistake.Mistake:
    near = difflib.get_close_matches(name, kind.column_by_name, 1)
    known = near or sorted(kind.column_by_name)
    return mistake.Mistake(
        key, name, value, "no such column", "use " + " or ".join(known)
    )


def _check_absent(key: str, column: kinds.Column) -> list[mistake.Mistake]:
    if not column.required:
        return []
    return [
        mistake.Mistake(
            key, column.name, None, "the column is required", "give a value"
        )
    ]


def _check_column(
    kind: kinds.Kind, key: str, column: kinds.Column, given: Any
) -> tuple[Any, list[mistake.Mistake]]:
    try:
        value = msgspec.convert(given, column.type)
    except decoding.ERRORS:
        wrong = mistake.Mistake(
            key,
            column.name,
            given,
            "not of this type",
            _expected_type(column.type),
        )
        return None, [wrong]
    why, remedy = _find_violation(kind, column, value)
    if not why:
        return value, []
    return None, [mistake.Mistake(key, column.name, given, why, remedy)]


def _find_violation(
    kind: kinds.Kind, column: kinds.Column, value: Any
) -> tuple[str, str]:
    bound = column.bound
    # The comparison is negated so that NaN fails too.
    if bound and not bound.low <= value <= bound.high:
        return bound.reason, f"give {bound.range_text}"
    if column.name in kind.key_columns and not kinds.NAME_PATTERN.fullmatch(
        value
    ):
        return "not a name", f"match {kinds.NAME_PATTERN.pattern}"
    if isinstance(value, str) and len(value) > kinds.MAX_TEXT_LENGTH:
        return "too long", f"at most {kinds.MAX_TEXT_LENGTH} characters"
    if isinstance(value, tuple) and len(value) > kinds.MAX_LIST_LENGTH:
        return "too many entries", f"at most {kinds.MAX_LIST_LENGTH}"
    return "", ""


def _expected_type(column_type: Any) -> str:
    if isinstance(column_type, type) and issubclass(column_type, enum.Enum):
        return "give one of " + ", ".join(
            str(each.value) for each in column_type
        )
    if typing.get_origin(column_type) is tuple:
        return "give a list of texts"
    name_by_type = {
        str: "a text",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
    }
    plain = column_type if isinstance(column_type, type) else types.NoneType
    return f"give {name_by_type.get(plain, str(column_type))}"
