"""Commits edits to the platform, and resolves lost responses."""

from collections.abc import Callable
import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice
from citronvalve.table import audit
from citronvalve.table import edit
from citronvalve.table import layout
from citronvalve.table import mistake
from citronvalve.table import planning
from citronvalve.table import reader
from citronvalve.table import rowedits
from citronvalve.table import state

#: Commits of one edit whose response was lost, including the first.
MAX_COMMIT_ATTEMPTS = 4

#: Edits shown to an operator after a conflict; the audit trail has the rest.
MAX_WINNERS = 20

#: Edits that a revert may undo; each costs a read of its audit entry.
MAX_REVERTED_EDITS = 500


class _PreparedEdit(NamedTuple):
    """An edit ready to commit; ``id`` identifies it in the audit trail."""

    id: str
    base: int
    changes: tuple[edit.Change, ...]
    transaction: rows.Transaction


class Editor:
    """Plans and applies edits for one operator.

    :param service: the platform's table service.
    :param time_source: clock for the time in audit entries.
    :param rng: source of the ids of edits.
    :param pause: called before each retry of a commit whose response was
        lost, with the number of the retry from 1.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        time_source: clock.Clock,
        rng: random.Random,
        pause: Callable[[int], None] = lambda attempt: None,
    ) -> None:
        self._service = service
        self._clock = time_source
        self._rng = rng
        self._pause = pause

    def plan(
        self, operation: planning.Operation
    ) -> edit.Plan | missing.Unavailable:
        """Return what an edit would change; nothing is written.

        :param operation: the edit.
        """
        stored = reader.read_state(self._service)
        if missing.is_missing(stored):
            return stored
        return planning.plan(stored, operation)

    def apply(
        self,
        operation: planning.Operation,
        author: edit.Author,
        expected: int | None = None,
    ) -> edit.Outcome:
        """Validate an edit and commit it as one transaction.

        :param operation: the edit.
        :param author: who edits, and why.
        :param expected: the version that the edit is based on; None for
            the current one.
        """
        stored = reader.read_state(self._service)
        if missing.is_missing(stored):
            return stored
        if expected not in {None, stored.version}:
            return self._conflict(expected, stored.version)
        return self._apply_to(stored, operation, author)

    def revert(
        self, version: int, author: edit.Author, expected: int | None = None
    ) -> edit.Outcome:
        """Restore the rows of an earlier version.

        The revert is a new edit with a new version: versions never fall.

        :param version: the earlier version.
        :param author: who edits, and why.
        :param expected: as in :meth:`apply`.
        """
        stored = reader.read_state(self._service)
        if missing.is_missing(stored):
            return stored
        if expected not in {None, stored.version}:
            return self._conflict(expected, stored.version)
        first = max(0, stored.version - MAX_REVERTED_EDITS)
        if not first <= version <= stored.version:
            return _refused(
                "version",
                version,
                f"the table can go back to {first} to {stored.version}",
                "name one of these, or apply a declaration",
            )
        entries = audit.read_range(self._service, version, stored.version)
        if missing.is_missing(entries):
            return missing.Unavailable(entries.reason, entries.where)
        return self._apply_to(stored, rowedits.undo_edits(entries), author)

    def _apply_to(
        self,
        stored: state.State,
        operation: planning.Operation,
        author: edit.Author,
    ) -> edit.Outcome:
        if not author.who.strip() or not author.why.strip():
            return _refused(
                "author",
                "",
                "the audit trail needs who and why",
                "give --who and --why",
            )
        edit_plan = planning.plan(stored, operation)
        if edit_plan.mistakes:
            return edit.Refused(edit_plan.mistakes)
        if not edit_plan.changes:
            return edit.Unchanged(stored.version)
        return self._commit(self._prepare(stored, edit_plan, author))

    def _prepare(
        self, stored: state.State, edit_plan: edit.Plan, author: edit.Author
    ) -> _PreparedEdit:
        edit_id = f"{self._rng.getrandbits(128):032x}"
        entry = edit.Entry(
            stored.version + 1,
            edit_id,
            author.who,
            author.why,
            self._clock.wall(),
            edit_plan.changes,
        )
        return _PreparedEdit(
            edit_id,
            stored.version,
            edit_plan.changes,
            _transaction(stored.revision, entry),
        )

    def _commit(self, prepared: _PreparedEdit) -> edit.Outcome:
        # A response can be lost after the write took effect, and the write
        # may even take effect after a read that did not find it.  Sending
        # the same transaction again is safe and final: its condition holds
        # for at most one of the two, and the audit entry tells which edit
        # created the version.
        lost_reason = ""
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            if attempt:
                self._pause(attempt)
            outcome = self._service.commit(prepared.transaction)
            if isinstance(outcome, rows.Committed):
                return edit.Accepted(
                    prepared.base + 1, prepared.id, prepared.changes
                )
            if isinstance(outcome, rows.Conflict):
                version = _head_version(outcome, prepared.base)
                if not lost_reason:
                    return self._conflict(prepared.base, version)
                resolved = self._resolve_conflict(prepared, version)
                if not missing.is_missing(resolved):
                    return resolved
            elif not lost_reason and not isinstance(
                outcome, missing.AnswerLost
            ):
                return outcome
            lost_reason = lost_reason or outcome.reason
        return edit.Unknown(prepared.id, prepared.base, lost_reason)

    def _resolve_conflict(
        self, prepared: _PreparedEdit, version: int
    ) -> edit.Outcome:
        """Determine from the audit entry which edit created the version."""
        entry = audit.read(self._service, prepared.base + 1)
        if missing.is_missing(entry):
            return missing.Unavailable(entry.reason, entry.where)
        if entry.edit == prepared.id:
            return edit.Accepted(
                prepared.base + 1, prepared.id, prepared.changes
            )
        return self._conflict(prepared.base, version)

    def _conflict(self, expected: int, version: int) -> edit.Conflict:
        first = max(expected, version - MAX_WINNERS)
        winners = audit.read_range(self._service, first, version)
        if missing.is_missing(winners):
            return edit.Conflict(expected, version, (), winners.reason)
        return edit.Conflict(expected, version, winners)


def _transaction(revision: int, entry: edit.Entry) -> rows.Transaction:
    head = {
        "version": entry.version,
        "edit": entry.edit,
        "who": entry.who,
        "at": entry.at,
    }
    # A removed row stays with an empty value: all readers then see the same
    # revision for it, and a lagging copy can tell it from a row that it has
    # not read yet.
    changed = (
        rows.Write(layout.TABLE, change.key, change.after or {})
        for change in entry.changes
    )
    return rows.Transaction(
        entry.edit,
        (rows.Condition(layout.TABLE, layout.HEAD, revision),),
        (
            rows.Write(layout.TABLE, layout.HEAD, head),
            *changed,
            *audit.entry_writes(entry),
        ),
    )


def _head_version(conflict: rows.Conflict, base: int) -> int:
    for row in conflict.rows:
        if row.key == layout.HEAD:
            return row.value["version"]
    return base


def _refused(row: str, value: object, why: str, remedy: str) -> edit.Refused:
    return edit.Refused((mistake.Mistake(row, "", value, why, remedy),))
