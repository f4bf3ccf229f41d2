"""Runs a call that may not be repeated at most once for its key."""

from collections.abc import Callable

from citronvalve.entry import work as works
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import answer as answers
from citronvalve.once import attempt as attempts
from citronvalve.once import call as oncecalls
from citronvalve.once import outcome as outcomes
from citronvalve.once import recorder as recorders
from citronvalve.upstreams import plainrequest

#: What comes of a call: the service's answer, or why there is none.
Result = plainrequest.PlainResponse | refusal.Refusal

#: A refusal says how much is known of the run.  One that broke off is told
#: by its own words; for the record, all that is not proved is unknown.
_EVENT_BY_RAN = {
    ran.Ran.NO: outcomes.Event.NEVER_SENT,
    ran.Ran.YES: outcomes.Event.CUT,
    ran.Ran.UNKNOWN: outcomes.Event.CUT,
}


class KeyedRunner:
    """Claims the key, dispatches, and records how it ended.

    The key is claimed before the call is placed.  A refusal for want of a
    place then says "not run" truly, since no earlier try holds the key, and
    a repeat gets its stored answer even when no upstream is free.

    :param recorder: the record of this daemon.
    """

    def __init__(self, recorder: recorders.Recorder) -> None:
        self._recorder = recorder

    def run(
        self, call: oncecalls.Call, dispatch: Callable[[], Result]
    ) -> Result:
        """Carry out a call, or answer it from the record.

        :param call: the call and its key.
        :param dispatch: carries it out, on one upstream after another only
            while it provably was not run.
        """
        started = self._recorder.begin(call)
        if isinstance(started, refusal.Refusal):
            return started
        if isinstance(started, attempts.Run):
            return self._dispatch(started.attempt, dispatch)
        return plainrequest.PlainResponse(*started.answer)

    def _dispatch(
        self, attempt: attempts.Attempt, dispatch: Callable[[], Result]
    ) -> Result:
        # A fault of ours or a task that is ended proves nothing.
        outcome = outcomes.Outcome(outcomes.Event.CUT)
        try:
            result = dispatch()
            outcome = _outcome(result)
        finally:
            recorded = self._recorder.end(attempt, outcome)
        if isinstance(result, refusal.Refusal):
            return result
        if isinstance(recorded, refusal.Refusal):
            return recorded
        return result


def make_call(
    work: works.Work, key: str, digest: str, now: int
) -> oncecalls.Call:
    """Return a call as the record needs to know it.

    :param work: as the decisions see it.
    :param key: the caller's key.
    :param digest: of method, path and body.
    :param now: monotonic time in ms.
    """
    return oncecalls.Call(work.team, key, digest, max(0, work.deadline - now))


def _outcome(result: Result) -> outcomes.Outcome:
    if isinstance(result, refusal.Refusal):
        return outcomes.Outcome(_EVENT_BY_RAN[result.ran])
    return outcomes.of_answer(answers.Answer(*result))
