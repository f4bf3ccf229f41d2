"""Commands that plan and apply edits of the table."""

import pathlib
from typing import Any

import json5

from citronvalve.cli import changes
from citronvalve.cli import exitcode
from citronvalve.cli import outcomes
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.model import missing
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import mistake
from citronvalve.table import planning
from citronvalve.table import rowedits


def plan(
    file: str, *, allow_removals: bool = False, platform: str = ""
) -> report.Report:
    """Show what applying a declaration would change.

    :param file: declaration file in JSON with comments.
    :param allow_removals: allow the removal of most rows of a section.
    :param platform: URL of the platform.
    """
    declaration = _read_declaration(file)
    if declaration.mistakes:
        return outcomes.mistakes_report(declaration.mistakes)
    wanted = planning.apply_declaration(declaration, allow_removals)
    planned = session.open_editor(platform).plan(wanted)
    if missing.is_missing(planned):
        return outcomes.unavailable_report(planned)
    if planned.mistakes:
        return outcomes.mistakes_report(planned.mistakes)
    body = {
        "outcome": "planned",
        "base": planned.base,
        "changes": changes.to_dicts(planned.changes),
    }
    text = f"no change: version {planned.base} already matches"
    if planned.changes:
        text = (
            f"{changes.format_table(planned.changes)}\n"
            f"{len(planned.changes)} rows change; to apply exactly this edit: "
            f"citronvalve apply {file} --expect {planned.base}"
        )
    return report.Report(exitcode.ExitCode.OK, text, body)


def apply(
    file: str,
    *,
    who: str,
    why: str,
    expect: int | None = None,
    allow_removals: bool = False,
    platform: str = "",
) -> report.Report:
    """Change the table to match a declaration.

    :param file: declaration file in JSON with comments.
    :param who: author of the edit, for the audit trail.
    :param why: reason for the edit, for the audit trail.
    :param expect: version that the plan is based on; if the table is at
        another one, the edit fails as a conflict.
    :param allow_removals: allow the removal of most rows of a section.
    :param platform: URL of the platform.
    """
    declaration = _read_declaration(file)
    if declaration.mistakes:
        return outcomes.mistakes_report(declaration.mistakes)
    wanted = planning.apply_declaration(declaration, allow_removals)
    author = edit.Author(who, why)
    return outcomes.edit_report(
        session.open_editor(platform).apply(wanted, author, expect)
    )


def set_row(
    key: str,
    *columns: str,
    who: str,
    why: str,
    new: bool = False,
    expect: int | None = None,
    platform: str = "",
) -> report.Report:
    """Set columns of one row, as in datacentres/sapporo state=out.

    :param key: section and name of the row.
    :param columns: column=value, with values as in a declaration.
    :param who: author of the edit, for the audit trail.
    :param why: reason for the edit, for the audit trail.
    :param new: add a row that does not exist yet.
    :param expect: version that the edit is based on; if the table is at
        another one, the edit fails as a conflict.
    :param platform: URL of the platform.
    """
    value_by_column = {}
    for assignment in columns:
        column, separator, value = assignment.partition("=")
        if not separator:
            missing_value = mistake.Mistake(
                key, assignment, assignment, "no value", "write column=value"
            )
            return outcomes.mistakes_report((missing_value,))
        value_by_column[column] = _parse_value(value)
    wanted = rowedits.set_columns(key, value_by_column, new)
    author = edit.Author(who, why)
    return outcomes.edit_report(
        session.open_editor(platform).apply(wanted, author, expect)
    )


def remove_row(
    key: str,
    *,
    who: str,
    why: str,
    expect: int | None = None,
    platform: str = "",
) -> report.Report:
    """Remove one row.

    :param key: section and name of the row.
    :param who: author of the edit, for the audit trail.
    :param why: reason for the edit, for the audit trail.
    :param expect: version that the edit is based on; if the table is at
        another one, the edit fails as a conflict.
    :param platform: URL of the platform.
    """
    wanted = rowedits.remove_row(key)
    author = edit.Author(who, why)
    return outcomes.edit_report(
        session.open_editor(platform).apply(wanted, author, expect)
    )


def revert(
    version: int,
    *,
    who: str,
    why: str,
    expect: int | None = None,
    platform: str = "",
) -> report.Report:
    """Restore the rows of an earlier version as a new edit.

    :param version: version to restore.
    :param who: author of the edit, for the audit trail.
    :param why: reason for the edit, for the audit trail.
    :param expect: version that the edit is based on; if the table is at
        another one, the edit fails as a conflict.
    :param platform: URL of the platform.
    """
    author = edit.Author(who, why)
    return outcomes.edit_report(
        session.open_editor(platform).revert(version, author, expect)
    )


def _parse_value(text: str) -> Any:
    try:
        return json5.loads(text)
    except ValueError:
        return text


def _read_declaration(file: str) -> document.Document:
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return document.unreadable(file, str(error))
    return document.parse(text, file)
