"""Decides what a row already there means for a request with its key."""

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import record as records
from citronvalve.once import state
from citronvalve.once import storedresponse

#: A repeat asks again no sooner and no later than this: sooner finds the
#: same row, later keeps a caller at a counter waiting for a short call.
MIN_RETRY_AFTER: clock.Ms = 500
MAX_RETRY_AFTER: clock.Ms = 5_000

_Kind = refusal.RefusalKind

_REMEDY_UNKNOWN = (
    "look the work up at the service before you send it under a new key"
)


def decide(
    found: records.Record, digest: str, wall: clock.Ms
) -> storedresponse.StoredResponse | refusal.Refusal:
    """Decide about a request whose key has a row of another attempt.

    Made for callers that give up and send again to another daemon.  It
    prevents a second run: whatever is found, nothing is dispatched.

    :param found: the row.
    :param digest: of the request at hand.
    :param wall: wall time in ms.  A wrong clock turns "in progress" into
        "unknown" too early or too late, both of which are true.
    :return: the answer to replay, or why there is none.
    """
    if found.digest != digest:
        return refusal.Refusal(
            _Kind.KEY_REUSED,
            "this key was used before with another request",
            "use a new key for a new request",
        )
    if found.state is state.State.DONE and found.kept:
        return found.kept
    return _REFUSAL_BY_STATE[found.state, wall >= found.until](found, wall)


def body_lost(status: int) -> refusal.Refusal:
    """Refuse to replay an answer whose body was not kept.

    :param status: that the service gave.
    """
    return refusal.Refusal(
        _Kind.OUTCOME_UNKNOWN,
        f"the request was run and answered with status {status}, but the"
        " body of that answer can't be read",
        "look the work up at the service",
        ran.Ran.YES,
    )


def outcome_unknown(detail: str) -> refusal.Refusal:
    """Say that a request was sent and how it ended is not known.

    :param detail: what was seen.
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
    return outcome_unknown("the daemon that ran this key's request went away")


def _no_response(_found: records.Record, _wall: clock.Ms) -> refusal.Refusal:
    return outcome_unknown("the request was sent and its answer was lost")


def _response_not_stored(
    _found: records.Record, _wall: clock.Ms
) -> refusal.Refusal:
    return outcome_unknown(
        "the request was answered, but no answer is recorded"
    )


#: By the row's state and whether its time has passed.
_REFUSAL_BY_STATE = {
    (state.State.PENDING, False): _in_progress,
    (state.State.PENDING, True): _abandoned,
    (state.State.UNKNOWN, False): _no_response,
    (state.State.UNKNOWN, True): _no_response,
    (state.State.DONE, False): _response_not_stored,
    (state.State.DONE, True): _response_not_stored,
}
