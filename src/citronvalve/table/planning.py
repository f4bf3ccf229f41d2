"""Works out what an edit changes; pure."""

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

#: Rows that one edit may change.  It is one transaction, and its audit
#: entry holds every row before and after: more would be several MB in one
#: call, which a slow store answers past the timeout.
MAX_CHANGES = 2_000

#: Share of a section that a file may remove unless told that it may.
MAX_REMOVED_SHARE = 0.5

#: Rows below which that share says nothing.
MIN_CHECKED_REMOVALS = 3

Values = dict[str, dict[str, Any]]

#: What an edit does to the values that are stored; it may raise
#: :exc:`mistake.MistakesError`.
Operation = Callable[[Values], Values]


def apply_declaration(
    declaration: document.Document, allow_removals: bool = False
) -> Operation:
    """Return the edit that makes the table say what a file declares.

    :param declaration: without mistakes.
    :param removals: whether most of a section may go.
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
    # A file that was cut short or filled in wrongly declares an empty
    # section as well as a full one, and within seconds no daemon anywhere
    # would know an upstream or a team.
    total = collections.Counter(map(_section_of, stored))
    mistakes = [
        mistake.Mistake(
            section,
            "",
            count,
            f"it would lose {count} of its {total[section]} rows",
            "look at the file, or apply it with --allow-removals",
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
    """Check the table as it would be, and tell what would change.

    :param stored: the table as it is.
    :param wanted: the edit.
    """
    before = stored.value_by_key
    try:
        after = operation(before)
    except mistake.MistakesError as error:
        return edit.Plan(stored.version, (), error.mistakes)
    checked = builder.build_full(after, stored.version + 1)
    if checked.mistakes:
        return edit.Plan(stored.version, (), checked.mistakes)
    changes = _find_changes(before, _with_defaults(checked, after))
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


def _with_defaults(checked: builder.BuildResult, after: Values) -> Values:
    # Defaults are stored as well: else a release with another default would
    # change behaviour without an edit.
    complete: dict[str, Any] = {}
    for kind in kinds.KIND_BY_SECTION.values():
        section_rows = getattr(checked.table, kind.field)
        if kind.key_columns:
            rows = (record._asdict() for record in section_rows.values())
            complete.update((kind.key_of(row), row) for row in rows)
        elif kind.key_of({}) in after:
            complete[kind.key_of({})] = section_rows._asdict()
    # As JSON gives it back, so that it compares with what is stored.
    return msgspec.json.decode(msgspec.json.encode(complete))


def _find_changes(before: Values, after: Values) -> tuple[edit.Change, ...]:
    return tuple(
        edit.Change(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    )
