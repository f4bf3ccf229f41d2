"""Commands that plan and make edits."""

import pathlib

from citronvalve.cli import changes
from citronvalve.cli import exitcode
from citronvalve.cli import outcomes
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.model import missing
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import planning


def plan(file: str, *, platform: str = "") -> report.Report:
    """Show what applying a declaration would change.

    :param file: declaration in JSON with comments.
    :param platform: URL of the platform.
    """
    declaration = _read(file)
    if declaration.mistakes:
        return outcomes.mistakes(declaration.mistakes)
    planned = session.edits(platform).plan(planning.declaring(declaration))
    if missing.is_missing(planned):
        return outcomes.unavailable(planned)
    if planned.mistakes:
        return outcomes.mistakes(planned.mistakes)
    body = {
        "outcome": "planned",
        "base": planned.base,
        "changes": changes.body(planned.changes),
    }
    text = f"no change: version {planned.base} already says this"
    if planned.changes:
        text = (
            f"{changes.grid(planned.changes)}\n"
            f"{len(planned.changes)} rows change; to make just this edit: "
            f"citronvalve apply {file} --expect {planned.base}"
        )
    return report.Report(exitcode.ExitCode.OK, text, body)


def apply(
    file: str,
    *,
    who: str,
    why: str,
    expect: int | None = None,
    platform: str = "",
) -> report.Report:
    """Make the table say what a declaration says.

    :param file: declaration in JSON with comments.
    :param who: who makes the edit, for the audit trail.
    :param why: why, for the audit trail.
    :param expect: version that was planned on; another is a conflict.
    :param platform: URL of the platform.
    """
    declaration = _read(file)
    if declaration.mistakes:
        return outcomes.mistakes(declaration.mistakes)
    wanted = planning.declaring(declaration)
    author = edit.Author(who, why)
    return outcomes.of(session.edits(platform).apply(wanted, author, expect))


def _read(file: str) -> document.Document:
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return document.unreadable(file, str(error))
    return document.parse(text, file)
