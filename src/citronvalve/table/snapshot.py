"""Reads the rows of a version that ``table show --json`` printed."""

from typing import Any

import msgspec

from citronvalve.model import decoding
from citronvalve.table import layout


class _Shown(msgspec.Struct):
    """The command's output; its rows by section and name."""

    version: int
    sections: dict[str, dict[str, dict[str, Any]]]


def parse(text: str) -> dict[str, dict[str, Any]] | None:
    """Return the columns by key, or None if the text is something else.

    :param text: contents of a file.
    """
    try:
        shown = msgspec.json.decode(text, type=_Shown)
    except decoding.ERRORS:
        return None
    return {
        layout.key(section, name): row
        for section, rows in shown.sections.items()
        for name, row in rows.items()
    }
