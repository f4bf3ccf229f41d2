"""Checks a declaration without the platform."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from citronvalve.model import declared
from citronvalve.model import finding
from citronvalve.table import builder
from citronvalve.table import conflicts
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import layout
from citronvalve.table import mistake
from citronvalve.table import planning
from citronvalve.table import unused


class _Check(NamedTuple):
    """A check, and the sections without which it can't be made."""

    sections: frozenset[str]
    find: Callable[[declared.Declared], Iterator[finding.Finding]]


_SERVING = frozenset({"upstreams", "groups"})
_CHECKS = (
    _Check(_SERVING, unused.check_served),
    _Check(_SERVING, unused.check_datacentres),
    _Check(frozenset(), unused.check_groups),
    _Check(_SERVING, unused.check_limits),
    _Check(frozenset({"switches"}), conflicts.check_kept_keys),
    _Check(frozenset({"switches"}), conflicts.check_retries),
)


class Review(NamedTuple):
    """Findings on a declaration, and the rows that it would change.

    ``changes`` is None if there is nothing to compare with, or are errors.
    """

    findings: tuple[finding.Finding, ...]
    changes: tuple[edit.Change, ...] | None


def review(
    declaration: document.Document,
    before: planning.Values | None,
    runners: int | None,
) -> Review:
    """Check a declaration.

    Sections that neither it nor the other version has are unknown, and
    nothing is said about rows that refer to them.  If there are errors,
    only these are reported.

    :param declaration: the declaration.
    :param before: rows of the version in force, or None.
    :param runners: VMs for replicas in each data centre, or None.
    """
    if declaration.mistakes:
        return Review(tuple(map(_to_finding, declaration.mistakes)), None)
    guarded, after = _apply(declaration, before or {})
    sections = declaration.sections | {
        key.split(layout.SEPARATOR)[0] for key in before or ()
    }
    built = builder.build_full(after, 0)
    mistakes = [m for m in built.mistakes if _is_known(m, sections)]
    if mistakes:
        # Rows that can't be used for this reason would be reported again.
        return Review(guarded + tuple(map(_to_finding, mistakes)), None)
    changes = _compare(before, planning.with_defaults(built, after))
    found = (
        *guarded,
        *_run_checks(built.table, sections, runners),
        *_check_size(changes or ()),
    )
    return Review(found, changes)


def _is_known(wrong: mistake.Mistake, sections: frozenset[str]) -> bool:
    """Return whether a mistake is one whatever the unknown sections hold."""
    section = wrong.needs.split(layout.SEPARATOR)[0]
    return not section or section in sections


def _run_checks(
    table: declared.Declared, sections: frozenset[str], runners: int | None
) -> Iterator[finding.Finding]:
    for check in _CHECKS:
        if check.sections <= sections:
            yield from check.find(table)
    if runners is not None:
        yield from conflicts.check_runners(table, runners)


def _apply(
    declaration: document.Document, before: planning.Values
) -> tuple[tuple[finding.Finding, ...], planning.Values]:
    found: tuple[finding.Finding, ...] = ()
    try:
        planning.apply_declaration(declaration)(before)
    except mistake.MistakesError as error:
        found = tuple(map(_to_finding, error.mistakes))
    return found, planning.apply_declaration(declaration, True)(before)


def _compare(
    before: planning.Values | None, after: planning.Values
) -> tuple[edit.Change, ...] | None:
    if before is None:
        return None
    built = builder.build_full(before, 0)
    return planning.find_changes(planning.with_defaults(built, before), after)


def _check_size(
    changes: tuple[edit.Change, ...],
) -> Iterator[finding.Finding]:
    if len(changes) > planning.MAX_CHANGES:
        yield finding.Finding(
            "table",
            f"{len(changes)} rows change; one edit changes at most "
            f"{planning.MAX_CHANGES}",
            "apply the sections one after the other, in several files",
        )


def _to_finding(wrong: mistake.Mistake) -> finding.Finding:
    place = f"{wrong.row}.{wrong.column}" if wrong.column else wrong.row
    value = "" if wrong.value in (None, "") else f"{wrong.value!r}: "
    return finding.Finding(place, f"{value}{wrong.why}", wrong.remedy)
