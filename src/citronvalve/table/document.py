"""Parses declarations written in JSON with comments."""

import difflib
import json
from typing import Any
from typing import NamedTuple

import json5

from citronvalve.table import kinds
from citronvalve.table import layout
from citronvalve.table import mistake


class Document(NamedTuple):
    """Contents of a declaration file.

    Sections that are not in the file keep their rows in the table; a section
    that is in the file replaces all its rows.
    """

    sections: frozenset[str]
    value_by_key: dict[str, dict[str, Any]]
    mistakes: tuple[mistake.Mistake, ...]


def parse(text: str, where: str) -> Document:
    """Parse a declaration.

    :param text: JSON with comments.
    :param where: the file's name, reported in mistakes.
    """
    try:
        content = _decode(text)
    except (ValueError, RecursionError) as error:
        return unreadable(where, str(error))
    if not isinstance(content, dict):
        return unreadable(where, "the file holds no map of sections")
    parser = _Parser()
    for section, rows in content.items():
        parser.parse_section(section, rows)
    return Document(
        frozenset(content), parser.value_by_key, tuple(parser.mistakes)
    )


def _decode(text: str) -> Any:
    # json5 is written in Python and takes minutes for a table of the
    # target's size; generated files seldom have comments.
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicates)
    except json.JSONDecodeError:
        return json5.loads(text, allow_duplicate_keys=False)


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # By default the last of two rows with one name would silently win.
    found: dict[str, Any] = {}
    for name, value in pairs:
        if name in found:
            raise ValueError(f"{name} is declared twice; remove one")
        found[name] = value
    return found


def unreadable(where: str, why: str) -> Document:
    """Return the document for a file that can't be parsed.

    :param where: the file's name.
    :param why: the parse error.
    """
    wrong = mistake.Mistake(where, "", "", why, "mend the file's syntax")
    return Document(frozenset(), {}, (wrong,))


class _Parser:
    """Collects the rows and mistakes of one file."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, dict[str, Any]] = {}
        self.mistakes: list[mistake.Mistake] = []

    def parse_section(self, section: str, content: Any) -> None:
        kind = kinds.KIND_BY_SECTION.get(section)
        if kind is None:
            near = difflib.get_close_matches(section, kinds.KIND_BY_SECTION, 1)
            known = near or sorted(kinds.KIND_BY_SECTION)
            remedy = "use " + " or ".join(known)
            self._add_mistake(section, "", "no such section", remedy)
        elif section == "limits":
            self._parse_limits(kind, content)
        elif not isinstance(content, dict):
            self._add_mistake(section, content, "not a map", "write {...}")
        elif section == "switches":
            self._add_row(
                layout.key(section, *kinds.SWITCHES_NAMES), content, {}
            )
        else:
            for name, row in content.items():
                key = layout.key(section, name)
                self._add_row(key, row, {"name": name})

    def _parse_limits(self, kind: kinds.Kind, content: Any) -> None:
        if not isinstance(content, list):
            self._add_mistake(
                kind.section, content, "not a list", "write [...]"
            )
            return
        for index, row in enumerate(content):
            place = f"{kind.section}[{index}]"
            if not isinstance(row, dict):
                self._add_mistake(place, row, "not a row", "write {...}")
                continue
            unnamed = [
                name
                for name in kind.key_columns
                if not kinds.NAME_PATTERN.fullmatch(str(row.get(name, "")))
            ]
            for name in unnamed:
                self._add_mistake(
                    f"{place}.{name}",
                    row.get(name),
                    "not a name",
                    f"match {kinds.NAME_PATTERN.pattern}",
                )
            if not unnamed:
                self._add_row(kind.key_of(row), row, {})

    def _add_row(self, key: str, row: Any, key_values: dict[str, str]) -> None:
        if not isinstance(row, dict):
            self._add_mistake(key, row, "not a row", "write {...}")
        elif any(row.get(k, v) != v for k, v in key_values.items()):
            self._add_mistake(
                key, row["name"], "named otherwise", "leave it out"
            )
        elif key in self.value_by_key:
            self._add_mistake(
                key, row, "declared twice", "remove one of the two"
            )
        elif key.count(layout.SEPARATOR) > (2 if not key_values else 0) + 1:
            self._add_mistake(key, key, "not a name", "leave out the slashes")
        else:
            self.value_by_key[key] = row | key_values

    def _add_mistake(
        self, row: str, value: Any, why: str, remedy: str
    ) -> None:
        self.mistakes.append(mistake.Mistake(row, "", value, why, remedy))
