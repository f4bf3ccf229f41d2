"""Runs requests with an idempotency key at most once."""

from collections.abc import Callable

from citronvalve.entry import work as works
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import attempt as attempts
from citronvalve.once import keyedrequest as keyedrequests
from citronvalve.once import outcome as outcomes
from citronvalve.once import recorder as recorders
from citronvalve.once import response as responses
from citronvalve.upstreams import plainrequest

#: The service's response, or why there is none.
Result = plainrequest.PlainResponse | refusal.Refusal

#: Maps a refusal's ``ran`` to the event for the record.  Whatever is not
#: proved not to have run is recorded as an unknown outcome.
_EVENT_BY_RAN = {
    ran.Ran.NO: outcomes.Event.NEVER_SENT,
    ran.Ran.YES: outcomes.Event.CUT,
    ran.Ran.UNKNOWN: outcomes.Event.CUT,
}


class KeyedRunner:
    """Claims the key, dispatches the request and records the outcome.

    The key is claimed before the request is placed.  If no upstream is
    available, "not run" is then correct, because no earlier attempt holds
    the key; and a repeated request gets its stored response even when no
    upstream is free.

    :param recorder: this daemon's recorder.
    """

    def __init__(self, recorder: recorders.Recorder) -> None:
        self._recorder = recorder

    def run(
        self, call: keyedrequests.KeyedRequest, dispatch: Callable[[], Result]
    ) -> Result:
        """Run a request, or return its stored response.

        :param call: the request and its key.
        :param dispatch: runs the request; it may use another upstream only
            while the request provably did not run.
        """
        started = self._recorder.begin(call)
        if isinstance(started, refusal.Refusal):
            return started
        if isinstance(started, attempts.Permit):
            return self._dispatch(started.attempt, dispatch)
        return plainrequest.PlainResponse(*started.response)

    def _dispatch(
        self, attempt: attempts.Attempt, dispatch: Callable[[], Result]
    ) -> Result:
        # Stays in effect if a bug or a killed task ends the dispatch.
        outcome = outcomes.Outcome(outcomes.Event.CUT)
        try:
            result = dispatch()
            outcome = _outcome(result)
        finally:
            recorded = self._recorder.record_outcome(attempt, outcome)
        if isinstance(result, refusal.Refusal):
            return result
        if isinstance(recorded, refusal.Refusal):
            return recorded
        return result


def make_call(
    work: works.Work, key: str, digest: str, now: int
) -> keyedrequests.KeyedRequest:
    """Return a request in the form that the recorder takes.

    :param work: the request as used for placement.
    :param key: the caller's idempotency key.
    :param digest: digest of method, path and body.
    :param now: monotonic time in ms.
    """
    return keyedrequests.KeyedRequest(
        work.team, key, digest, max(0, work.deadline - now)
    )


def _outcome(result: Result) -> outcomes.Outcome:
    if isinstance(result, refusal.Refusal):
        return outcomes.Outcome(_EVENT_BY_RAN[result.ran])
    return outcomes.from_response(responses.Response(*result))
