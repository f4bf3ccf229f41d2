"""Runs all checks on a draft of a configuration."""

from collections.abc import Callable
from collections.abc import Iterator

from citronvalve.model import finding
from citronvalve.routes import circumstances
from citronvalve.routes import contradictions
from citronvalve.routes import draft as drafts
from citronvalve.routes import unmatched

_Check = Callable[
    [drafts.Draft, circumstances.Circumstances], Iterator[finding.Finding]
]

_CHECKS: tuple[_Check, ...] = (
    contradictions.check_version,
    unmatched.check_names,
    unmatched.check_prefixes,
    unmatched.check_shares,
    unmatched.check_services,
    unmatched.check_teams,
    unmatched.check_access,
    contradictions.check_times,
    contradictions.check_attempts,
    contradictions.check_services,
    contradictions.check_callers,
)


def check(
    draft: drafts.Draft, given: circumstances.Circumstances
) -> tuple[finding.Finding, ...]:
    """Return all findings on a draft.

    :param draft: the configuration.
    :param given: what is known beside it.
    """
    return tuple(
        found for run_check in _CHECKS for found in run_check(draft, given)
    )
