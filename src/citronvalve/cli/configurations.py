"""The command that checks a configuration before it is sent."""

from collections.abc import Iterable
import pathlib
from typing import NamedTuple

from citronvalve.cli import adapters
from citronvalve.cli import changes as changes_
from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.model import errors
from citronvalve.model import finding
from citronvalve.model import missing
from citronvalve.policy import retrybudget
from citronvalve.routes import circumstances
from citronvalve.routes import draft as drafts
from citronvalve.routes import draftcheck
from citronvalve.routes import draftrows
from citronvalve.routes import reading
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import filecheck
from citronvalve.table import planning
from citronvalve.table import snapshot

#: Bounds the count for a budget with a large slack.
_MAX_COUNTED_RETRIES = 100


class _Options(NamedTuple):
    """Options of the command; empty or None where they are not given."""

    file: str
    against: str
    adapter: str
    settings: str
    runners: int | None


class _Result(NamedTuple):
    """Findings on a file, and what it changes; None if not compared."""

    findings: tuple[finding.Finding, ...]
    changes: tuple[edit.Change, ...] | None


def check(
    file: str,
    *,
    against: str = "",
    adapter: str = "",
    settings: str = "",
    runners: int | None = None,
) -> report.Report:
    """Check a configuration before it is sent; works offline.

    Reports errors, entries that no request can match, and limits that
    contradict each other.  Exits with 0 if there is none, with 1 if there
    are findings, and with 2 if a file can't be read.

    :param file: a declaration as for apply, or a configuration in the
        platform's words (with --adapter).
    :param against: file with the version in force, to list by name what
        changes: of the same kind, or the output of table show --json.
    :param adapter: folder with the adapter of the platform, such as
        platform/ of the repository.
    :param settings: a daemon's settings file with the retry budget; only
        with --adapter.
    :param runners: VMs for replicas in each data centre.
    """
    options = _Options(file, against, adapter, settings, runners)
    try:
        run = _check_draft if adapter else _check_declaration
        return _report(options, run(options))
    except errors.SettingsError as error:
        return _unreadable(error)


def _check_draft(options: _Options) -> _Result:
    adapter = adapters.load(options.adapter)
    read = _read_draft(adapter, options.file)
    before = _read_before(adapter, options.against)
    retries = None
    if options.settings:
        retries = _count_retries(adapter.read_retry_limits(options.settings))
    if read.draft is None:
        return _Result(read.findings, None)
    given = circumstances.Circumstances(
        options.runners, retries, before.version if before else None
    )
    found = read.findings + draftcheck.check(read.draft, given)
    if before is None:
        return _Result(found, None)
    changes = planning.find_changes(
        draftrows.to_rows(before), draftrows.to_rows(read.draft)
    )
    return _Result(found, changes)


def _read_draft(adapter: adapters.Adapter, file: str) -> reading.Reading:
    read = adapter.read_draft(_read(file))
    if isinstance(read, missing.Missing):
        raise _reading_error(read.reason, file)
    return read


def _read_before(adapter: adapters.Adapter, file: str) -> drafts.Draft | None:
    if not file:
        return None
    read = _read_draft(adapter, file)
    if read.draft is None:
        first = read.findings[0]
        raise _reading_error(f"{first.place}: {first.what}", file)
    return read.draft


def _count_retries(limits: retrybudget.RetryLimits) -> int:
    """Return how many retries a single request may use.

    :param limits: the budget over all daemons.
    """
    budget = retrybudget.RetryBudget(limits)
    budget.record_request(0)
    count = 0
    while count < _MAX_COUNTED_RETRIES and budget.spend(1, 0):
        count += 1
    return count


def _check_declaration(options: _Options) -> _Result:
    if options.settings:
        raise errors.SettingsError(
            "settings without an adapter",
            where=options.settings,
            remedy="give --adapter too, or leave out --settings",
        )
    declaration = _read_declaration(options.file)
    before = None
    if options.against:
        before = _read_values(options.against)
    return _Result(*filecheck.review(declaration, before, options.runners))


def _read_declaration(file: str) -> document.Document:
    parsed = document.parse(_read_text(file), file)
    if parsed.mistakes and not parsed.sections:
        raise _reading_error(parsed.mistakes[0].why, file)
    return parsed


def _read_values(file: str) -> planning.Values:
    shown = snapshot.parse(_read_text(file))
    if shown is not None:
        return shown
    parsed = _read_declaration(file)
    if parsed.mistakes:
        raise _reading_error(str(parsed.mistakes[0]), file)
    return parsed.value_by_key


def _read_text(file: str) -> str:
    try:
        return _read(file).decode()
    except UnicodeDecodeError as error:
        raise _reading_error(str(error), file) from error


def _read(file: str) -> bytes:
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        raise _reading_error(str(error), file) from error


def _reading_error(why: str, file: str) -> errors.SettingsError:
    return errors.SettingsError(
        why, where=file, remedy="give a file that can be read"
    )


def _unreadable(error: errors.SettingsError) -> report.Report:
    return report.Report(
        exitcode.ExitCode.BAD_INPUT,
        f"{error.where}: {error.reason}",
        {"outcome": "unreadable", "where": error.where, "why": error.reason},
        error.remedy,
    )


def _report(options: _Options, result: _Result) -> report.Report:
    found = result.findings
    text = [_findings_text(options.file, found)]
    if result.changes is not None:
        text.append(_changes_text(options.against, result.changes))
    body = {
        "outcome": "findings" if found else "ok",
        "findings": [each.to_dict() for each in found],
        "changes": changes_.to_dicts(result.changes or ()),
    }
    code = exitcode.ExitCode.FINDINGS if found else exitcode.ExitCode.OK
    remedy = "correct the entries above and check again" if found else ""
    return report.Report(code, "\n".join(text), body, remedy)


def _findings_text(file: str, found: Iterable[finding.Finding]) -> str:
    found = tuple(found)
    if not found:
        return f"{file}: no findings"
    lines = [f"{each.place}: {each.what} ({each.remedy})" for each in found]
    counted = _count(len(found), "finding", "findings")
    return "\n".join([f"{file}: {counted}", *lines])


def _count(count: int, singular: str, plural: str) -> str:
    return f"{count} {singular if count == 1 else plural}"


def _changes_text(file: str, changes: tuple[edit.Change, ...]) -> str:
    if not changes:
        return f"no change against {file}"
    table = changes_.format_table(changes)
    counted = _count(len(changes), "entry differs", "entries differ")
    return f"{counted} from {file}\n{table}"
