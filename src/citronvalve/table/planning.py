"""Computes the changes of an edit, without I/O."""

import collections
from collections.abc import Callable
from typing import Any

import msgspec

from citronvalve.table import builder
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import kinds
from citronvalve.table import layout
from citronvalve.table import mistake
from citronvalve.table import state

#: Rows that one edit may change.  An edit is one transaction, and its audit
#: entry has every row before and after: more rows would be several MB in one
#: call, which times out on a slow store.
MAX_CHANGES = 2_000

#: Share of a section that a file may remove without explicit permission.
MAX_REMOVED_SHARE = 0.5

#: Number of removed rows from which the share is checked.
MIN_CHECKED_REMOVALS = 3

Values = dict[str, dict[str, Any]]

#: Returns the values of the table after an edit, given the stored values.
#: May raise :exc:`mistake.MistakesError`.
Operation = Callable[[Values], Values]


def apply_declaration(
    declaration: document.Document, allow_removals: bool = False
) -> Operation:
    """Return an operation that replaces the sections of a declaration.

    :param declaration: a document without mistakes.
    :param allow_removals: whether most rows of a section may be removed.
    """

    def operation(stored: Values) -> Values:
        gone = [
            key
            for key in stored
            if _section_of(key) in declaration.sections
            and key not in declaration.value_by_key
        ]
        if not allow_removals:
            _check_removals(stored, gone)
        kept = {key: stored[key] for key in stored.keys() - set(gone)}
        return kept | declaration.value_by_key

    return operation


def _check_removals(stored: Values, removed: list[str]) -> None:
    # A truncated or wrongly generated file may declare a section with hardly
    # any rows.  Applied, it would remove the upstreams or teams from all
    # daemons within seconds.
    total = collections.Counter(map(_section_of, stored))
    mistakes = [
        mistake.Mistake(
            section,
            "",
            count,
            f"it would lose {count} of its {total[section]} rows",
            "check the file, or apply it with --allow-removals",
        )
        for section, count in collections.Counter(
            map(_section_of, removed)
        ).items()
        if count >= MIN_CHECKED_REMOVALS
        and count > total[section] * MAX_REMOVED_SHARE
    ]
    if mistakes:
        raise mistake.MistakesError(tuple(mistakes))


def plan(stored: state.State, operation: Operation) -> edit.Plan:
    """Validate the table after an edit, and return the changes.

    :param stored: the current table.
    :param operation: the edit.
    """
    before = stored.value_by_key
    try:
        after = operation(before)
    except mistake.MistakesError as error:
        return edit.Plan(stored.version, (), error.mistakes)
    checked = builder.build_full(after, stored.version + 1)
    if checked.mistakes:
        return edit.Plan(stored.version, (), checked.mistakes)
    changes = find_changes(before, with_defaults(checked, after))
    if len(changes) > MAX_CHANGES:
        wrong = mistake.Mistake(
            "table",
            "",
            len(changes),
            f"one edit changes at most {MAX_CHANGES} rows",
            "apply the sections one after the other, in several files",
        )
        return edit.Plan(stored.version, (), (wrong,))
    return edit.Plan(stored.version, changes)


def _section_of(key: str) -> str:
    return key.split(layout.SEPARATOR)[0]


def with_defaults(checked: builder.BuildResult, after: Values) -> Values:
    """Return the values of a table with every column.

    :param checked: the table that was built from them, without mistakes.
    :param after: the values as given.
    """
    # Defaults are stored too; otherwise a release with another default would
    # change behaviour without an edit.
    complete: dict[str, Any] = {}
    for kind in kinds.KIND_BY_SECTION.values():
        section_rows = getattr(checked.table, kind.field)
        if kind.key_columns:
            rows = (record._asdict() for record in section_rows.values())
            complete.update((kind.key_of(row), row) for row in rows)
        elif kind.key_of({}) in after:
            complete[kind.key_of({})] = section_rows._asdict()
    # The JSON round trip makes the values comparable with the stored ones.
    return msgspec.json.decode(msgspec.json.encode(complete))


def find_changes(before: Values, after: Values) -> tuple[edit.Change, ...]:
    """Return the rows that differ, in the order of their keys.

    :param before: columns by key.
    :param after: the same of the other version.
    """
    return tuple(
        edit.Change(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    )
