"""The list of scenarios that fail for a fault which is still open."""

import pathlib
from typing import NamedTuple

_FIELDS = ("suite: scenario", "command and seed", "what was seen", "issue")


class KnownRedError(Exception):
    """The list can't be used as it stands; says which line and why."""


class Entry(NamedTuple):
    """One open fault; ``test`` is the suite and the scenario's name."""

    test: str
    command: str
    seen: str
    issue: str


def read(path: pathlib.Path) -> dict[str, Entry]:
    """Return the entries by test.

    :param path: the list; none is as good as an empty one.
    :raises KnownRedError: when a line lacks a field, or names a test twice.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    entry_by_test: dict[str, Entry] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(_FIELDS) or not all(fields):
            raise KnownRedError(
                f"{path.name}, line {number}: write it as "
                f"{' | '.join(_FIELDS)}"
            )
        entry = Entry(*fields)
        if entry.test in entry_by_test:
            raise KnownRedError(
                f"{path.name}, line {number}: {entry.test} is named twice"
            )
        entry_by_test[entry.test] = entry
    return entry_by_test


def unknown(
    entry_by_test: dict[str, Entry], run: set[str]
) -> list[KnownRedError]:
    """Return a complaint about each entry that names no scenario.

    :param entry_by_test: the list.
    :param run: suite and scenario of all that were run.
    """
    return [
        KnownRedError(f"{test} names no scenario: mend or drop its line")
        for test in entry_by_test
        if test not in run
    ]
