"""Works out what an edit changes; pure."""

import collections
from collections.abc import Callable
from typing import Any

import msgspec

from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import kinds
from citronvalve.table import layout
from citronvalve.table import mistake
from citronvalve.table import state
from citronvalve.table import typed

#: Rows that one edit may change.  It is one transaction, and its audit
#: entry holds every row before and after: more would be several MB in one
#: call, which a slow store answers past the timeout.
MOST_CHANGES = 2_000

#: Share of a section that a file may remove unless told that it may.
MOST_REMOVED = 0.5

#: Rows below which that share says nothing.
FEWEST_WIDE = 3

Values = dict[str, dict[str, Any]]

#: What an edit does to the values that are stored; it may raise
#: :exc:`mistake.MistakesError`.
Wanted = Callable[[Values], Values]


def declaring(
    declaration: document.Document, removals: bool = False
) -> Wanted:
    """Return the edit that makes the table say what a file declares.

    :param declaration: without mistakes.
    :param removals: whether most of a section may go.
    """

    def wanted(stored: Values) -> Values:
        gone = [
            key
            for key in stored
            if _section(key) in declaration.sections
            and key not in declaration.value_by_key
        ]
        if not removals:
            _refuse_wide(stored, gone)
        kept = {key: stored[key] for key in stored.keys() - set(gone)}
        return kept | declaration.value_by_key

    return wanted


def _refuse_wide(stored: Values, gone: list[str]) -> None:
    # A file that was cut short or filled in wrongly declares an empty
    # section as well as a full one, and within seconds no daemon anywhere
    # would know an upstream or a team.
    total = collections.Counter(map(_section, stored))
    wide = [
        mistake.Mistake(
            section,
            "",
            count,
            f"it would lose {count} of its {total[section]} rows",
            "look at the file, or apply it with --allow-removals",
        )
        for section, count in collections.Counter(map(_section, gone)).items()
        if count >= FEWEST_WIDE and count > total[section] * MOST_REMOVED
    ]
    if wide:
        raise mistake.MistakesError(tuple(wide))


def plan(stored: state.State, wanted: Wanted) -> edit.Plan:
    """Check the table as it would be, and tell what would change.

    :param stored: the table as it is.
    :param wanted: the edit.
    """
    before = stored.value_by_key
    try:
        after = wanted(before)
    except mistake.MistakesError as error:
        return edit.Plan(stored.version, (), error.mistakes)
    checked = typed.full(after, stored.version + 1)
    if checked.mistakes:
        return edit.Plan(stored.version, (), checked.mistakes)
    changes = _changes(before, _complete(checked, after))
    if len(changes) > MOST_CHANGES:
        wrong = mistake.Mistake(
            "table",
            "",
            len(changes),
            f"one edit changes at most {MOST_CHANGES} rows",
            "apply the sections one after the other, in several files",
        )
        return edit.Plan(stored.version, (), (wrong,))
    return edit.Plan(stored.version, changes)


def _section(key: str) -> str:
    return key.split(layout.SEPARATOR)[0]


def _complete(checked: typed.Typed, after: Values) -> Values:
    # Defaults are stored as well: else a release with another default would
    # change behaviour without an edit.
    complete: dict[str, Any] = {}
    for kind in kinds.KIND_BY_SECTION.values():
        held = getattr(checked.table, kind.field)
        if kind.key_columns:
            rows = (record._asdict() for record in held.values())
            complete.update((kind.key_of(row), row) for row in rows)
        elif kind.key_of({}) in after:
            complete[kind.key_of({})] = held._asdict()
    # As JSON gives it back, so that it compares with what is stored.
    return msgspec.json.decode(msgspec.json.encode(complete))


def _changes(before: Values, after: Values) -> tuple[edit.Change, ...]:
    return tuple(
        edit.Change(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    )
