"""What waits for one model, and what was started of late."""

import collections.abc

from citronvalve.model import clock
from citronvalve.policy import admission
from citronvalve.policy import attempt
from citronvalve.policy import fairshare
from citronvalve.policy import usage

#: Gain of one start in the mean service time of the model's mix.
_GAIN = 0.05

_Weights = collections.abc.Callable[[str], float]


class Backlog:
    """The queue of one model with what is needed to predict waits.

    :param weight_of: gives the weight of a team.
    """

    def __init__(self, weight_of: _Weights) -> None:
        self.queue = fairshare.FairQueue()
        self._usage = usage.Usage()
        self._weight_of = weight_of
        self._typical = 0.0
        self._order = 0

    def forecast(
        self,
        entry: attempt.Entry,
        slots: float,
        most: float,
        now: clock.Ms,
    ) -> admission.Forecast:
        """Predict when a request would start.

        :param entry: the request.
        :param slots: slots of this model for all teams.
        :param most: slots that limits leave to the team.
        :param now: monotonic ms.
        """
        team = entry.work.team
        waiting = self.queue.teams()
        rate = self._usage.rate(team, slots, self._weight_of, waiting, now)
        typical = round(self._typical) or entry.expected.mean
        supply = admission.Supply(slots, min(rate, most), typical)
        item = self._waiting(entry)
        return admission.forecast(self.queue, item, supply, now)

    def push(self, entry: attempt.Entry) -> None:
        """Let a request wait.

        :param entry: the request.
        """
        self._order += 1
        entry.waiting = self._waiting(entry)
        self.queue.push(entry.waiting)

    def remove(self, entry: attempt.Entry) -> None:
        """Take a request out, if it waits.

        :param entry: the request.
        """
        if entry.waiting is not None:
            self.queue.remove(entry.waiting)
            entry.waiting = None

    def started(self, entry: attempt.Entry, now: clock.Ms) -> None:
        """Count a request that starts.

        :param entry: the request.
        :param now: monotonic ms.
        """
        team, cost = entry.work.team, entry.expected.mean
        self.queue.charge(team, cost, self._weight_of(team))
        self._usage.add(team, cost, now)
        gain = _GAIN if self._typical else 1.0
        self._typical += gain * (cost - self._typical)

    def _waiting(self, entry: attempt.Entry) -> fairshare.Waiting:
        item = entry.work
        return fairshare.Waiting(
            item.deadline,
            self._order,
            item.request,
            item.team,
            entry.expected.mean,
            entry.expected.bound,
        )
