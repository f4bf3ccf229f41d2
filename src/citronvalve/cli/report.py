"""Output of a command, as text and as a JSON object."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from citronvalve.cli import exitcode

#: Longer values are truncated in text; --json prints them in full.
MAX_CELL_CHARS = 60


class Report(NamedTuple):
    """Result of a command.

    :ivar code: exit code.
    :ivar text: output for people.
    :ivar body: fields of the JSON output.
    :ivar remedy: how to resolve a failure; empty on success.
    """

    code: exitcode.ExitCode
    text: str
    body: dict[str, Any]
    remedy: str = ""


def format_table(
    headers: Sequence[str], lines: Iterable[Sequence[Any]]
) -> str:
    """Return a text table with aligned columns.

    :param headers: names of the columns.
    :param lines: cells of each line, one for each column.
    """
    cells = [[_format_cell(each) for each in line] for line in lines]
    table = [list(headers), *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    output_lines = [table[0], ["-" * width for width in widths], *cells]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in output_lines
    )


def _format_cell(value: Any) -> str:
    if isinstance(value, (list, tuple)):
        value = ", ".join(map(str, value))
    if isinstance(value, bool):
        value = "yes" if value else "no"
    text = "-" if value is None else str(value)
    return (
        text
        if len(text) <= MAX_CELL_CHARS
        else text[: MAX_CELL_CHARS - 1] + "…"
    )
