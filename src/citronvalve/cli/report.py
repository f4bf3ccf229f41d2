"""What a command tells: text for people, a body for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from citronvalve.cli import exitcode

#: Characters of one cell; a longer value is cut, --json gives it whole.
MAX_CELL_CHARS = 60


class Report(NamedTuple):
    """The end of a command; ``remedy`` says what to do about a failure."""

    code: exitcode.ExitCode
    text: str
    body: dict[str, Any]
    remedy: str = ""


def format_table(
    headers: Sequence[str], lines: Iterable[Sequence[Any]]
) -> str:
    """Return a table with aligned columns.

    :param heads: one name a column.
    :param lines: as many cells in each.
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
