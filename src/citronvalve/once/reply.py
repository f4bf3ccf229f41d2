"""Replies to callers of non-idempotent requests."""

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import decision
from citronvalve.once import outcome as outcomes
from citronvalve.once import response as responses

_Kind = refusal.RefusalKind

#: Retry delay of a caller whose request was not run; long enough for a
#: crashed service to be taken out of routing.
_RETRY_AFTER_NOT_RUN: clock.Ms = 1_000

_DETAIL_BY_EVENT = {
    outcomes.Event.GATEWAY: "a gateway responded in place of the service",
    outcomes.Event.CUT: "the connection closed before the response ended",
    outcomes.Event.SILENT: "no response was received before the deadline",
}


def for_outcome(
    outcome: outcomes.Outcome,
) -> responses.Response | refusal.Refusal:
    """Return the reply for the outcome of a dispatch.

    It is the same for requests with and without a key.

    :param outcome: outcome of the dispatch.
    """
    if outcome.kind is outcomes.OutcomeKind.DONE and outcome.response:
        return outcome.response
    if outcome.kind is outcomes.OutcomeKind.NOT_RUN:
        return _not_run(outcome.event)
    return decision.outcome_unknown(_DETAIL_BY_EVENT[outcome.event])


def invalid_key(max_length: int) -> refusal.Refusal:
    """Return the refusal of an empty or overlong key.

    :param max_length: largest number of characters.
    """
    return refusal.Refusal(
        _Kind.MALFORMED,
        f"the idempotency key must have 1 to {max_length} characters",
        "use a UUID as the key",
    )


def claim_failed(why: str, retry_after: clock.Ms) -> refusal.Refusal:
    """Return the refusal of a request whose key could not be claimed.

    This attempt did not run, but an earlier one with the same key may have.
    A client that lost the first response and repeats the request during an
    outage would take "no" for "no certificate was issued" and request a
    second one, so ``ran`` is unknown.

    :param why: reason given by the platform.
    :param retry_after: retry delay in ms.
    """
    return refusal.Refusal(
        _Kind.RECORD_UNAVAILABLE,
        f"this attempt did not run because its key can't be recorded ({why});"
        " whether an earlier attempt with this key ran is unknown",
        "send the same request with the same key again",
        ran.Ran.UNKNOWN,
        retry_after,
    )


def body_unavailable(retry_after: clock.Ms) -> refusal.Refusal:
    """Return the refusal for a temporarily unavailable response body.

    :param retry_after: retry delay in ms.
    """
    return refusal.Refusal(
        _Kind.RECORD_UNAVAILABLE,
        "the request ran, but its stored response is temporarily unavailable",
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
