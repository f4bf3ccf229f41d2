"""What a caller of a request that may not be repeated is told."""

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import decision
from citronvalve.once import outcome as outcomes
from citronvalve.once import response as responses

_Kind = refusal.RefusalKind

#: Ms until a caller whose request was not run may come back: long enough
#: for a crashed service to be taken out of routing.
_RETRY_AFTER_NOT_RUN: clock.Ms = 1_000

_DETAIL_BY_EVENT = {
    outcomes.Event.GATEWAY: "something before the service answered for it",
    outcomes.Event.CUT: "the connection ended before the answer was whole",
    outcomes.Event.SILENT: "no answer came before the deadline",
}


def for_outcome(
    outcome: outcomes.Outcome,
) -> responses.Response | refusal.Refusal:
    """Tell how a dispatch ended; the same with a key and without.

    :param outcome: what was seen of the service.
    """
    if outcome.kind is outcomes.OutcomeKind.DONE and outcome.response:
        return outcome.response
    if outcome.kind is outcomes.OutcomeKind.NOT_RUN:
        return _not_run(outcome.event)
    return decision.outcome_unknown(_DETAIL_BY_EVENT[outcome.event])


def invalid_key(longest: int) -> refusal.Refusal:
    """Refuse a key that can't be recorded.

    :param longest: how many characters it may have.
    """
    return refusal.Refusal(
        _Kind.MALFORMED,
        f"an idempotency key has 1 to {longest} characters",
        "send a UUID as the key",
    )


def claim_failed(why: str, retry_after: clock.Ms) -> refusal.Refusal:
    """Refuse a request whose key could not be claimed.

    This try was not run.  An earlier one with the same key may have been:
    a client that lost its answer and repeats it during an outage would take
    "no" for "no certificate was issued", and have a second one made.

    :param why: what the platform said.
    :param back: ms until the caller may come back.
    """
    return refusal.Refusal(
        _Kind.RECORD_UNAVAILABLE,
        f"this try was not run, since its key can't be recorded now ({why});"
        " whether an earlier try with this key was run is not known",
        "send the same request with the same key again",
        ran.Ran.UNKNOWN,
        retry_after,
    )


def body_unavailable(retry_after: clock.Ms) -> refusal.Refusal:
    """Say that a request ran and that its answer can't be read now.

    :param back: ms until the caller may come back.
    """
    return refusal.Refusal(
        _Kind.RECORD_UNAVAILABLE,
        "the request was run; its stored answer can't be read now",
        "send the same request with the same key again",
        ran.Ran.YES,
        retry_after,
    )


def _not_run(event: outcomes.Event) -> refusal.Refusal:
    if event is outcomes.Event.REFUSED:
        return refusal.Refusal(
            _Kind.UPSTREAM_FAILED,
            "the service refused the request before running it",
            "send the same request again",
            retry_after=_RETRY_AFTER_NOT_RUN,
        )
    return refusal.Refusal(
        _Kind.NO_UPSTREAM,
        "no upstream of the service could be reached",
        "send the same request again",
        retry_after=_RETRY_AFTER_NOT_RUN,
    )
