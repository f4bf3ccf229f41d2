"""Commands that show the table and its edits."""

import collections

from citronvalve.cli import changes
from citronvalve.cli import exitcode
from citronvalve.cli import outcomes
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.cli import timestamps
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import audit
from citronvalve.table import edit
from citronvalve.table import layout
from citronvalve.table import reader


def show(*sections: str, platform: str = "") -> report.Report:
    """Show the rows of the table.

    :param sections: sections to show; none shows all.
    :param platform: URL of the platform.
    """
    stored = reader.read_state(session.open_table(platform))
    if missing.is_missing(stored):
        return outcomes.unavailable_report(stored)
    by_section: dict[str, dict] = collections.defaultdict(dict)
    for key, value in sorted(stored.value_by_key.items()):
        section, _, name = key.partition(layout.SEPARATOR)
        if not sections or section in sections:
            by_section[section][name] = value
    text = [f"version {stored.version}"]
    for section, row_by_name in by_section.items():
        headers = [c for c in next(iter(row_by_name.values())) if c != "name"]
        lines = (
            [name, *(row.get(head) for head in headers)]
            for name, row in row_by_name.items()
        )
        text.append(f"\n{section}")
        text.append(report.format_table(["name", *headers], lines))
    return report.Report(
        exitcode.ExitCode.OK,
        "\n".join(text),
        {"version": stored.version, "sections": by_section},
    )


def history(*, last: int = 20, platform: str = "") -> report.Report:
    """List the latest edits.

    :param last: number of edits to list.
    :param platform: URL of the platform.
    """
    entries = _latest_entries(session.open_table(platform), last)
    if missing.is_missing(entries):
        return outcomes.unavailable_report(entries)
    headers = ("version", "at", "who", "rows", "why")
    lines = (
        (e.version, timestamps.format_utc(e.at), e.who, len(e.changes), e.why)
        for e in entries
    )
    body = {"edits": [outcomes.entry_body(entry) for entry in entries]}
    return report.Report(
        exitcode.ExitCode.OK, report.format_table(headers, lines), body
    )


def trail(*versions: int, last: int = 5, platform: str = "") -> report.Report:
    """Show audit entries: author, time, reason and row changes.

    :param versions: versions to show; none shows the latest.
    :param last: number of latest entries to show.
    :param platform: URL of the platform.
    """
    service = session.open_table(platform)
    entries = (
        tuple(audit.read(service, version) for version in versions)
        if versions
        else _latest_entries(service, last)
    )
    if missing.is_missing(entries):
        return outcomes.unavailable_report(entries)
    for entry in entries:
        if isinstance(entry, missing.NotFound):
            return _entry_not_found(entry)
        if missing.is_missing(entry):
            return outcomes.unavailable_report(entry)
    text = "\n\n".join(_format_entry(entry) for entry in entries)
    body = {"edits": [outcomes.entry_body(entry) for entry in entries]}
    return report.Report(exitcode.ExitCode.OK, text, body)


def _latest_entries(
    service: tableservice.TableService, last: int
) -> tuple[edit.Entry, ...] | missing.Missing:
    head = service.read(layout.TABLE, layout.HEAD)
    if isinstance(head, missing.NotFound):
        return ()
    if missing.is_missing(head):
        return head
    version = head.value["version"]
    return audit.read_range(service, max(0, version - last), version)


def _format_entry(entry: edit.Entry) -> str:
    return (
        f"version {entry.version} by {entry.who} at "
        f"{timestamps.format_utc(entry.at)} (edit {entry.edit})\n"
        f"why: {entry.why}\n"
        f"{changes.format_table(entry.changes)}"
    )


def _entry_not_found(not_found: missing.NotFound) -> report.Report:
    return report.Report(
        exitcode.ExitCode.REFUSED,
        f"no such audit entry: {not_found.where}",
        {"outcome": "not-found", "at": not_found.where},
        "see `citronvalve table history` for existing versions",
    )
