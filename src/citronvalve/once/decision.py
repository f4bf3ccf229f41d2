"""Decides how to answer a request whose key already has a row."""

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import record as records
from citronvalve.once import state
from citronvalve.once import storedresponse

#: Bounds of the retry delay of a request in progress.  A shorter delay
#: finds the same row; a longer one delays callers of short requests.
MIN_RETRY_AFTER: clock.Ms = 500
MAX_RETRY_AFTER: clock.Ms = 5_000

_Kind = refusal.RefusalKind

_REMEDY_UNKNOWN = (
    "check at the service whether the work was done before you send the"
    " request with a new key"
)


def decide(
    found: records.Record, digest: str, wall: clock.Ms
) -> storedresponse.StoredResponse | refusal.Refusal:
    """Decide about a request whose key has a row of another attempt.

    This happens when a caller gives up and repeats the request at another
    daemon.  The request is never dispatched again, whatever the row says.

    :param found: the row.
    :param digest: digest of the repeated request.
    :param wall: wall time in ms.  A wrong clock changes "in progress" into
        "unknown" too early or too late; neither reply is false.
    :return: the response to replay, or a refusal.
    """
    if found.digest != digest:
        return refusal.Refusal(
            _Kind.KEY_REUSED,
            "this key was already used with a different request",
            "use a new key for each request",
        )
    if found.state is state.State.DONE and found.kept:
        return found.kept
    return _REFUSAL_BY_STATE[found.state, wall >= found.until](found, wall)


def body_lost(status: int) -> refusal.Refusal:
    """Refuse to replay a response whose body was lost or not stored.

    :param status: HTTP status of the response.
    """
    return refusal.Refusal(
        _Kind.OUTCOME_UNKNOWN,
        f"the request ran and the service responded with status {status},"
        " but the body of the response is not available",
        "check the result at the service",
        ran.Ran.YES,
    )


def outcome_unknown(detail: str) -> refusal.Refusal:
    """Return the refusal for a request that may or may not have run.

    :param detail: why the outcome is unknown.
    """
    return refusal.Refusal(
        _Kind.OUTCOME_UNKNOWN, detail, _REMEDY_UNKNOWN, ran.Ran.UNKNOWN
    )


def _in_progress(found: records.Record, wall: clock.Ms) -> refusal.Refusal:
    time_left = found.until - wall
    return refusal.Refusal(
        _Kind.IN_PROGRESS,
        "a request with this key is in progress",
        "send the same request with the same key again later",
        ran.Ran.UNKNOWN,
        min(max(time_left, MIN_RETRY_AFTER), MAX_RETRY_AFTER),
    )


def _abandoned(_found: records.Record, _wall: clock.Ms) -> refusal.Refusal:
    return outcome_unknown(
        "the daemon that sent the request with this key failed"
    )


def _no_response(_found: records.Record, _wall: clock.Ms) -> refusal.Refusal:
    return outcome_unknown(
        "the request was sent, but no response was received"
    )


def _response_not_stored(
    _found: records.Record, _wall: clock.Ms
) -> refusal.Refusal:
    return outcome_unknown(
        "the service responded, but the response was not recorded"
    )


#: Keyed by the state of the row and whether it has expired.
_REFUSAL_BY_STATE = {
    (state.State.PENDING, False): _in_progress,
    (state.State.PENDING, True): _abandoned,
    (state.State.UNKNOWN, False): _no_response,
    (state.State.UNKNOWN, True): _no_response,
    (state.State.DONE, False): _response_not_stored,
    (state.State.DONE, True): _response_not_stored,
}
