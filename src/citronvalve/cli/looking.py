"""Commands that look at the table."""

import collections

from citronvalve.cli import exitcode
from citronvalve.cli import outcomes
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.model import missing
from citronvalve.table import layout
from citronvalve.table import reading


def show(*sections: str, platform: str = "") -> report.Report:
    """Show the rows of the table.

    :param sections: which sections; none shows all.
    :param platform: URL of the platform.
    """
    stored = reading.read_state(session.table(platform))
    if missing.is_missing(stored):
        return outcomes.unavailable(stored)
    by_section: dict[str, dict] = collections.defaultdict(dict)
    for key, value in sorted(stored.value_by_key.items()):
        section, _, name = key.partition(layout.SEPARATOR)
        if not sections or section in sections:
            by_section[section][name] = value
    text = [f"version {stored.version}"]
    for section, row_by_name in by_section.items():
        heads = [c for c in next(iter(row_by_name.values())) if c != "name"]
        lines = (
            [name, *(row.get(head) for head in heads)]
            for name, row in row_by_name.items()
        )
        text.append(f"\n{section}")
        text.append(report.grid(["name", *heads], lines))
    return report.Report(
        exitcode.ExitCode.OK,
        "\n".join(text),
        {"version": stored.version, "sections": by_section},
    )
