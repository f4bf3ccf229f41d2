"""Calls of a played work, and what callers got."""

import collections
from typing import NamedTuple


class Call:
    """A caller's request and how it went; ``first`` is ms to an event."""

    __slots__ = (
        "arrived_at",
        "datacentre",
        "events",
        "first",
        "kind",
        "first_after",
        "prompt",
        "refusals",
        "result",
        "retried",
        "returned_at",
        "team",
        "tried",
    )

    def __init__(self, kind, datacentre, prompt, events, now, team=0):
        self.kind = kind
        self.datacentre = datacentre
        self.prompt = prompt
        self.events = events
        self.arrived_at = now
        self.tried = []
        self.retried = False
        self.first = None
        self.result = None
        self.team = team
        self.returned_at = None
        self.first_after = None
        #: For each refusal, the free slots of its model at that time.
        self.refusals = []

    @property
    def size(self):
        """Return tokens of the prompt and the events, for bytes."""
        return self.prompt + self.events


class Sent(NamedTuple):
    """A try ``at`` ms after the beginning, between data centres."""

    at: int
    origin: str
    target: str
    size: int


class Outcome(NamedTuple):
    """How the calls of one kind went.

    ``lost`` ones have no whole answer.  ``worth`` is the part that callers
    got of what all answers in time were worth.
    """

    asked: int
    in_time: int
    late: int
    refused: int
    lost: int
    worth: float


class Results:
    """What the callers of a run got.

    :param calls: all calls.
    :param kinds: the kinds of request.
    :param begin: ms at which the run began.
    """

    def __init__(self, calls, kinds, begin):
        self._calls = calls
        self._kinds = kinds
        self._begin = begin

    def outcomes(self):
        """Return how the calls went, by kind."""
        return {kind.name: self._outcome(kind) for kind in self._kinds}

    def _outcome(self, kind):
        calls = [call for call in self._calls if call.kind is kind]
        count = collections.Counter(call.result for call in calls)
        possible = sum(call.kind.worth for call in calls)
        got = sum(map(_worth, calls))
        return Outcome(
            len(calls),
            count["in_time"],
            count["late"],
            count["refused"],
            count["lost"] + count[None],
            got / possible if calls else 0.0,
        )

    def worth(self):
        """Return the part of the whole worth that callers got."""
        return _worth_part(self._calls)

    def worst_kind(self):
        """Return the least part of the worth that a kind's callers got."""
        return min(outcome.worth for outcome in self.outcomes().values())

    def worst_window(self, span=2_000):
        """Return the least part of the worth in any window.

        :param span: its length in ms.
        """
        calls_by_window = collections.defaultdict(list)
        for call in self._calls:
            window = (call.arrived_at - self._begin) // span
            calls_by_window[window].append(call)
        return min(map(_worth_part, calls_by_window.values()))


def _worth(call):
    worth_by_result = {
        "in_time": call.kind.worth,
        "late": call.kind.late_worth,
    }
    return worth_by_result.get(call.result, 0.0)


def _worth_part(calls):
    return sum(map(_worth, calls)) / sum(call.kind.worth for call in calls)
