"""Convert results of edits and reads to reports."""

from collections.abc import Iterable
from typing import Any

from citronvalve.cli import changes
from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.cli import timestamps
from citronvalve.model import missing
from citronvalve.table import edit
from citronvalve.table import mistake

_Code = exitcode.ExitCode


def edit_report(outcome: edit.Outcome) -> report.Report:
    """Return the report of an edit.

    :param outcome: result from the editor.
    """
    for outcome_type, make_report in _REPORT_BY_TYPE.items():
        if isinstance(outcome, outcome_type):
            return make_report(outcome)
    raise TypeError(f"no report for {outcome!r}")


def mistakes_report(found: Iterable[mistake.Mistake]) -> report.Report:
    """Return the report of invalid input.

    :param found: all mistakes in it.
    """
    found = tuple(found)
    headers = ("row", "column", "value", "why", "remedy")
    lines = ((*m[:2], repr(m.value), m.why, m.remedy) for m in found)
    text = report.format_table(headers, lines)
    return report.Report(
        _Code.BAD_INPUT,
        f"{len(found)} mistakes; nothing was changed\n{text}",
        {"outcome": "mistakes", "mistakes": [m._asdict() for m in found]},
        "correct the rows above and run the command again",
    )


def unavailable_report(failure: missing.Missing) -> report.Report:
    """Return the report of a platform that could not be reached.

    :param failure: why there is no response.
    """
    return report.Report(
        _Code.UNAVAILABLE,
        f"the platform could not be reached: {failure.reason} "
        f"({failure.where})",
        {
            "outcome": "unavailable",
            "reason": failure.reason,
            "at": failure.where,
        },
        "nothing was changed; check --platform and run the command again",
    )


def entry_body(entry: edit.Entry) -> dict[str, Any]:
    """Return an audit entry as a dictionary for JSON output.

    :param entry: audit entry of one edit.
    """
    return entry._asdict() | {"changes": changes.to_dicts(entry.changes)}


def _accepted(outcome: edit.Accepted) -> report.Report:
    return report.Report(
        _Code.OK,
        f"{changes.format_table(outcome.changes)}\n"
        f"committed as version {outcome.version}; `citronvalve status` shows "
        "when it is in force everywhere",
        {
            "outcome": "accepted",
            "version": outcome.version,
            "edit": outcome.edit,
            "changes": changes.to_dicts(outcome.changes),
        },
    )


def _unchanged(outcome: edit.Unchanged) -> report.Report:
    return report.Report(
        _Code.OK,
        f"no change: version {outcome.version} already matches",
        {"outcome": "unchanged", "version": outcome.version},
    )


def _refused(outcome: edit.Refused) -> report.Report:
    return mistakes_report(outcome.mistakes)


def _conflict(outcome: edit.Conflict) -> report.Report:
    lines = [
        f"conflict: the edit was made for version {outcome.expected}, the "
        f"table is at {outcome.version}; nothing was changed"
    ]
    for entry in outcome.winners:
        lines.append(
            f"version {entry.version} by {entry.who} at "
            f"{timestamps.format_utc(entry.at)}: {entry.why}"
        )
        lines.append(changes.format_table(entry.changes))
    if outcome.unread_reason:
        lines.append(
            f"the conflicting edits could not be read: {outcome.unread_reason}"
        )
    return report.Report(
        _Code.CONFLICT,
        "\n".join(lines),
        {
            "outcome": "conflict",
            "expected": outcome.expected,
            "version": outcome.version,
            "winners": [entry_body(entry) for entry in outcome.winners],
        },
        "run `citronvalve plan` again, then apply with "
        f"--expect {outcome.version}",
    )


def _unknown(outcome: edit.Unknown) -> report.Report:
    return report.Report(
        _Code.UNKNOWN,
        f"the edit {outcome.edit} on version {outcome.base} may or may not "
        f"be in the table: {outcome.reason}",
        {
            "outcome": "unknown",
            "edit": outcome.edit,
            "base": outcome.base,
            "reason": outcome.reason,
        },
        f"once the platform responds, check whether `citronvalve audit "
        f"{outcome.base + 1}` shows this edit; if not, run it again with "
        f"--expect {outcome.base}: only one of the two can take effect",
    )


_REPORT_BY_TYPE = {
    edit.Accepted: _accepted,
    edit.Unchanged: _unchanged,
    edit.Refused: _refused,
    edit.Conflict: _conflict,
    edit.Unknown: _unknown,
    missing.Missing: unavailable_report,
}
