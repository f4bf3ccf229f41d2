"""Reference of the table's columns, generated from their validation rules."""

from collections.abc import Iterator
import enum
import typing
from typing import Any

from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.table import kinds

_HEADERS = ("section", "column", "takes", "default", "bounds", "because")

_NAME_BY_TYPE = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "yes/no",
}


def columns(*sections: str) -> report.Report:
    """Show the columns of the table with their types, defaults and bounds.

    :param sections: sections to show; none shows all.
    """
    unknown = sorted(set(sections) - kinds.KIND_BY_SECTION.keys())
    if unknown:
        return report.Report(
            exitcode.ExitCode.BAD_INPUT,
            f"no such section: {', '.join(unknown)}",
            {"outcome": "bad-input"},
            "use " + ", ".join(kinds.KIND_BY_SECTION),
        )
    lines = [
        line
        for kind in kinds.KIND_BY_SECTION.values()
        if not sections or kind.section in sections
        for line in column_lines(kind)
    ]
    body = {"columns": [dict(zip(_HEADERS, n, strict=True)) for n in lines]}
    return report.Report(
        exitcode.ExitCode.OK, report.format_table(_HEADERS, lines), body
    )


def column_lines(kind: kinds.Kind) -> Iterator[tuple]:
    """Yield the cells of one line for each column of a section.

    :param kind: kind of row that the section holds.
    """
    for column in kind.column_by_name.values():
        bound = column.bound
        yield (
            kind.section,
            column.name,
            _type_text(column.type),
            "required" if column.required else _default_text(column.default),
            bound.range_text if bound else "",
            bound.reason if bound else "",
        )


def _type_text(column_type: Any) -> str:
    if isinstance(column_type, type) and issubclass(column_type, enum.Enum):
        return " or ".join(str(each.value) for each in column_type)
    if typing.get_origin(column_type) is tuple:
        return "list of texts"
    return _NAME_BY_TYPE[column_type]


def _default_text(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value) if value != "" else "empty"
